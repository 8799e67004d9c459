package entryhost

import (
	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/ratekeeper"
)

// keeperCandidates is the number of hosts that may keep an organisation: two may be lost at once.
const keeperCandidates = 3

// newKeepers returns the host's part in keeping organisations within their rates.
func newKeepers(h *Host) *ratekeeper.Keepers {
	return ratekeeper.New(ratekeeper.Config{
		Host: h.cfg.Settings.Host, Log: h.log, Metrics: h.cfg.Metrics,
		Candidates: func(organisation string) []ratekeeper.Candidate {
			var out []ratekeeper.Candidate
			for _, c := range h.peers.Candidates("rate/"+organisation, keeperCandidates) {
				out = append(out, ratekeeper.Candidate(c))
			}
			return out
		},
		Organisation: func(name string) *catalog.Organisation {
			if c := h.catalog.Load(); c != nil {
				return c.OrganisationNamed(name)
			}
			return nil
		},
		Send: func(host string, data []byte) error { return h.peers.SendMessage(host, data) },
	})
}
