package controller

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/manifest"
)

const (
	// roleGateway is the role of gateways in the mesh.
	roleGateway = "gateway"
	// unseenTimeout is the time after which a gateway that is not seen any more loses its slots. A new gateway must
	// have been seen for as long before it gets any. This keeps a restarting host from moving slots twice.
	unseenTimeout = 5 * time.Second
	// minWitnessChangeInterval is the minimum time between two changes of the witness list, in which every host receives
	// the first one. Two changes at once could allow two majorities without a common witness.
	minWitnessChangeInterval = 5 * time.Second
	// witnessesPerZone is the intended number of witnesses in each zone.
	witnessesPerZone = 2
)

// errNoChange aborts an update of the manifest that is no longer necessary.
var errNoChange = errors.New("controller: manifest needs no change")

// slotAssigner decides on the owners of the quota slots and on the witness list. It is not safe for concurrent use.
type slotAssigner struct {
	startedAt         time.Time
	firstSeen         map[string]time.Time // by gateway id: when it was first seen, since its last long absence
	lastSeen          map[string]time.Time // by gateway id: when it was last seen
	lastWitnessChange time.Time            // last change of the witness list, or attempt at one
	lastCompaction    time.Time            // last call of the compactor
}

// maintainManifest checks and updates the manifest periodically until the term ends or stop is closed.
func (tm *term) maintainManifest(ctx context.Context, stop <-chan struct{}) {
	if tm.deps.Manifest == nil {
		return
	}
	a := &slotAssigner{startedAt: time.Now(), firstSeen: map[string]time.Time{}, lastSeen: map[string]time.Time{}}
	tick := time.NewTicker(manifestCheckPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stop:
			return
		case <-tick.C:
			if err := tm.checkManifest(ctx, a); err != nil && !errors.Is(err, errNoChange) {
				tm.deps.Log.Warn("manifest not changed", "err", err)
			}
		}
	}
}

// checkManifest updates slots and witnesses if they need a change, and calls the compactor when it is due.
func (tm *term) checkManifest(ctx context.Context, a *slotAssigner) error {
	if tm.deps.View.Status() != confview.Fresh || !tm.leaseValid() {
		return nil
	}
	snap := tm.deps.View.Snapshot()
	a.recordMembers(time.Now(), tm.deps.View.Members())
	if a.desired(time.Now(), snap, snap.Manifest) != nil {
		if err := tm.updateManifest(ctx, a); err != nil {
			return err
		}
	}
	if tm.deps.Compactor == nil || time.Since(a.lastCompaction) < compactionPeriod {
		return nil
	}
	a.lastCompaction = time.Now()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return tm.deps.Compactor.Compact(ctx)
}

// updateManifest writes the desired slots and witnesses. The desired witness list is computed once, from the list that
// the first attempt finds: another attempt after a lost answer must not make a second change at once.
func (tm *term) updateManifest(ctx context.Context, a *slotAssigner) error {
	ctx, cancel := context.WithTimeout(ctx, 2*kvTimeout)
	defer cancel()
	var oldWitnesses, newWitnesses []string
	_, err := tm.deps.Manifest.Update(ctx, func(m *manifest.Manifest) (manifest.Restriction, error) {
		if !tm.leaseValid() {
			return manifest.Restriction{}, errTermOver
		}
		next := a.desired(time.Now(), tm.deps.View.Snapshot(), m)
		if next == nil {
			return manifest.Restriction{}, errNoChange
		}
		if newWitnesses == nil {
			oldWitnesses, newWitnesses = slices.Clone(m.Witnesses), next.witnesses
		}
		r := manifest.Restriction{Base: m.Revision, SlotsLost: lostSlots(m.Slots.Owners, next.owners)}
		if !slices.Equal(m.Slots.Owners, next.owners) {
			m.Slots = m.Slots.WithOwners(next.owners)
		}
		if slices.Equal(m.Witnesses, oldWitnesses) {
			m.Witnesses = newWitnesses
		}
		return r, nil
	})
	if !slices.Equal(oldWitnesses, newWitnesses) {
		a.lastWitnessChange = time.Now() // also after an error: the write may have taken effect
	}
	return err
}

// desiredState is the part of the manifest that the controller decides on: slot owners and witnesses.
type desiredState struct{ owners, witnesses []string }

// desired returns the slot owners and witnesses that m should have, or nil if it already has them.
func (a *slotAssigner) desired(now time.Time, snap *confview.Snapshot, m *manifest.Manifest) *desiredState {
	listed := map[string]hostlist.Host{}
	for _, h := range snap.Hosts {
		if h.Role == hostlist.RoleEntry {
			listed[h.ID] = h
		}
	}
	next := &desiredState{assignSlots(m.Slots.Owners, a.eligibleGateways(now, m.Slots.Owners, listed)), m.Witnesses}
	if now.Sub(a.lastWitnessChange) >= minWitnessChangeInterval && now.Sub(a.startedAt) >= minWitnessChangeInterval {
		next.witnesses = nextWitnesses(m.Witnesses, listed, func(id string) bool {
			return !a.firstSeen[id].IsZero() && now.Sub(a.lastSeen[id]) < unseenTimeout &&
				now.Sub(a.firstSeen[id]) >= unseenTimeout
		})
	}
	if slices.Equal(next.owners, m.Slots.Owners) && slices.Equal(next.witnesses, m.Witnesses) {
		return nil
	}
	return next
}

// recordMembers records when the gateways among the mesh members were seen.
func (a *slotAssigner) recordMembers(now time.Time, members []confview.Member) {
	for _, m := range members {
		if m.Role != roleGateway {
			continue
		}
		if m.Leaving {
			delete(a.firstSeen, m.ID)
			a.lastSeen[m.ID] = now.Add(-time.Hour) // a leaving gateway loses its slots at once
			continue
		}
		if seen := now.Add(-time.Duration(m.AgeMS) * time.Millisecond); seen.After(a.lastSeen[m.ID]) {
			if now.Sub(a.lastSeen[m.ID]) > 2*unseenTimeout || a.firstSeen[m.ID].IsZero() {
				a.firstSeen[m.ID] = now
			}
			a.lastSeen[m.ID] = seen
		}
	}
}

// eligibleGateways returns the gateways that may own slots, sorted: current owners until they have not been seen for
// unseenTimeout, and others once they have been seen for that long. A new controller counts every owner as just seen.
func (a *slotAssigner) eligibleGateways(now time.Time, owners []string, listed map[string]hostlist.Host) []string {
	owns := map[string]bool{}
	for _, o := range owners {
		owns[o] = o != ""
	}
	var out []string
	for id := range owns {
		seen := a.lastSeen[id]
		if seen.IsZero() {
			seen = a.startedAt
		}
		if owns[id] && now.Sub(seen) < unseenTimeout && !listed[id].Leaving {
			out = append(out, id)
		}
	}
	for id, first := range a.firstSeen {
		if !owns[id] && now.Sub(first) >= unseenTimeout && now.Sub(a.lastSeen[id]) < unseenTimeout && !listed[id].Leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// assignSlots distributes the slots evenly over the live hosts and moves as few as possible. Without a live host all
// slots keep their owners.
func assignSlots(owners, live []string) []string {
	next := make([]string, manifest.SlotCount)
	copy(next, owners)
	if len(live) == 0 {
		return next
	}
	count := make(map[string]int, len(live))
	for _, id := range live {
		count[id] = 0
	}
	for i, o := range next {
		if _, ok := count[o]; ok {
			count[o]++
		} else {
			next[i] = ""
		}
	}
	share := equalShares(live, count)
	assigned := make(map[string]int, len(live))
	for i, o := range next {
		if o == "" {
			continue
		}
		if assigned[o] == share[o] {
			next[i] = ""
			continue
		}
		assigned[o]++
	}
	for i, o := range next {
		if o != "" {
			continue
		}
		to := slices.MaxFunc(live, func(a, b string) int {
			return cmp.Or(cmp.Compare(share[a]-assigned[a], share[b]-assigned[b]), cmp.Compare(b, a))
		})
		next[i] = to
		assigned[to]++
	}
	return next
}

// equalShares returns the number of slots for each host. All hosts get the same number, and the remainder goes to the
// hosts that own most slots now, as given by count.
func equalShares(live []string, count map[string]int) map[string]int {
	order := slices.Clone(live)
	slices.SortFunc(order, func(a, b string) int { return cmp.Or(-cmp.Compare(count[a], count[b]), cmp.Compare(a, b)) })
	share := make(map[string]int, len(order))
	for i, id := range order {
		share[id] = manifest.SlotCount / len(order)
		if i < manifest.SlotCount%len(order) {
			share[id]++
		}
	}
	return share
}

// lostSlots returns the numbers of the slots that have an owner in old and another one, or none, in next.
func lostSlots(old, next []string) []int {
	var out []int
	for i, o := range old {
		if o != "" && i < len(next) && next[i] != o {
			out = append(out, i)
		}
	}
	return out
}

// nextWitnesses returns the witness list with at most one host removed or added, so that every majority of the new list
// shares a witness with every majority of the old one. Witnesses that are missing from the host list are removed first,
// then those that are leaving or exceed witnessesPerZone: to remove a live witness while others are gone could leave
// no majority.
func nextWitnesses(witnesses []string, listed map[string]hostlist.Host, eligible func(id string) bool) []string {
	gone := func(id string) bool { _, ok := listed[id]; return !ok }
	zones := map[string]int{}
	surplus := func(id string) bool {
		zone := listed[id].Zone
		zones[zone]++
		return listed[id].Leaving || zones[zone] > witnessesPerZone
	}
	for _, removable := range []func(id string) bool{gone, surplus} {
		if i := slices.IndexFunc(witnesses, removable); i >= 0 {
			return slices.Delete(slices.Clone(witnesses), i, i+1)
		}
	}
	var add string
	for id, h := range listed {
		if h.Leaving || slices.Contains(witnesses, id) || zones[h.Zone] >= witnessesPerZone || !eligible(id) {
			continue
		}
		if add == "" || cmp.Or(cmp.Compare(zones[h.Zone], zones[listed[add].Zone]), cmp.Compare(id, add)) < 0 {
			add = id
		}
	}
	if add == "" {
		return witnesses
	}
	return append(slices.Clone(witnesses), add)
}
