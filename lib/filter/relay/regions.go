package relay

import (
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/refusal"
)

// findRegions works out the regions that the route and the organisation allow, for all attempts of the request. If they have none in
// common it returns the refusal.
func (r *request) findRegions() error {
	regions, ok := catalog.AllowedRegions(r.route, r.ex.Customer)
	if r.regions = regions; ok {
		return nil
	}
	r.countIneligible(refusal.RegionNotAllowed)
	r.cfg.Log.Info("no region", "request_id", r.ex.ID, "route", r.route.Name, "organisation", r.ex.Organisation,
		"of_route", r.route.AllowedRegions, "of_organisation", r.ex.Customer.AllowedRegions)
	return &refusal.Error{
		Reason: refusal.RegionNotAllowed, Run: refusal.NotRun, Status: fasthttp.StatusServiceUnavailable,
		Message: "the route and the organisation allow no region in common",
		Remedy:  "ask the operators to allow a region for both",
	}
}

// countIneligible counts a refusal by region or evacuation.
func (r *request) countIneligible(reason refusal.Reason) {
	if reason == refusal.RegionNotAllowed || reason == refusal.ZonesEvacuated {
		r.cfg.Metrics.GetOrCreateCounter(`cuminhook_ineligible_total{reason="` + string(reason) + `"}`).Inc()
	}
}
