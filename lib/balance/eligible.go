package balance

import (
	"errors"
	"slices"
)

// Errors of Balancer.Pick if no target may get the request, whatever its state.
var (
	ErrEvacuated = errors.New("balance: the zones of all targets that may take the request are evacuated; retry when an evacuation has ended")
	// ErrVersion means that no target has the software version at which the stream began.
	ErrVersion = errors.New("balance: no target of the service has the software version that began the stream; begin it anew")
	ErrRegion  = errors.New("balance: no target of the service is in a region that the request may go to; allow another region")
)

// eligibility states which targets may get requests at all, whatever their load and health.
type eligibility struct {
	evacuated map[string]bool   // zones
	regions   map[string]string // by zone
}

// SetEvacuated sets the zones whose targets get no requests. Requests in progress go on there.
func (b *Balancer) SetEvacuated(zones map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.eligibility.evacuated = zones
	woken := map[string]bool{}
	for _, t := range b.targets { // requests that wait choose among others, or are refused
		if !woken[t.info.Service] {
			woken[t.info.Service] = true
			b.roomAt(t)
		}
	}
}

// SetRegions sets the region of each zone. A zone without one is a region of its own name.
func (b *Balancer) SetRegions(regions map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.eligibility.regions = regions
}

// check returns ErrRegion, ErrVersion or ErrEvacuated if the target must not get the request, or nil.
func (e *eligibility) check(t *target, q *Query) error {
	zone := t.info.Zone
	if q.Regions != nil {
		region := e.regions[zone]
		if region == "" {
			region = zone
		}
		if !slices.Contains(q.Regions, region) {
			return ErrRegion
		}
	}
	if q.Version != nil && t.info.Version != *q.Version {
		return ErrVersion
	}
	if e.evacuated[zone] {
		return ErrEvacuated
	}
	return nil
}

// mergeIneligible returns the error for a request that a further target must not get. An evacuation ends, so that it is stated if
// there is one.
func mergeIneligible(former, err error) error {
	if former == ErrEvacuated {
		return former
	}
	return err
}
