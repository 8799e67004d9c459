package mesh

import (
	"slices"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
)

// evidence is the newest report of a witness that it cannot reach the key-value service.
type evidence struct {
	at    instant // not later than the moment the witness made the report
	known int64
}

// pending is an announced write that is not resolved.
type pending struct {
	at          instant // not earlier than the announcement
	restriction manifest.Restriction
}

// recency decides how recent the configuration is (section 7.4 of the design page).
type recency struct {
	self      string
	start     instant
	revision  int64 // installed; -1 for none
	known     int64 // newest heard of; at least revision
	confirmed instant
	witnesses []string
	evidence  map[string]evidence
	pending   map[string]pending

	polling  bool // a poll is outstanding
	pollSent instant
	failed   bool // the last finished poll failed

	// Tests switch rules off to show that the properties depend on them.
	ignoreAnnouncements bool
	supportAtStart      bool
	ignoreAge           bool
	silent              bool // as a witness
}

func newRecency(self string, now instant) recency {
	return recency{
		self: self, start: now, revision: -1, known: -1, confirmed: never,
		evidence: map[string]evidence{}, pending: map[string]pending{},
	}
}

// confirm notes that the configuration of the given revision was certainly the newest at the instant at.
func (r *recency) confirm(revision int64, at instant) {
	if revision != r.revision || at <= r.confirmed {
		return
	}
	r.confirmed = at
	r.resolve()
}

// install notes a new configuration. It reports false, and changes nothing, if revision is not newer.
func (r *recency) install(revision int64, witnesses []string) bool {
	if revision <= r.revision {
		return false
	}
	r.revision, r.witnesses = revision, witnesses
	r.hear(revision)
	for id := range r.evidence {
		if !slices.Contains(witnesses, id) {
			delete(r.evidence, id)
		}
	}
	r.resolve()
	return true
}

// hear notes that a revision exists.
func (r *recency) hear(revision int64) { r.known = max(r.known, revision) }

// announce stores an announcement made at the instant at. It reports whether it changed anything.
func (r *recency) announce(id string, restriction manifest.Restriction, at instant) bool {
	if r.ignoreAnnouncements {
		return false
	}
	r.hear(restriction.Base)
	if _, ok := r.pending[id]; ok || r.settled(pending{at, restriction}) {
		return false
	}
	r.pending[id] = pending{at, restriction}
	return true
}

// settled reports whether the announced write has failed or is contained in the configuration.
func (r *recency) settled(p pending) bool {
	return r.revision > p.restriction.Base || r.confirmed > p.at+announceSettled
}

func (r *recency) resolve() {
	for id, p := range r.pending {
		if r.settled(p) {
			delete(r.pending, id)
		}
	}
}

// report stores the evidence of a witness. The caller has stored the announcements that came with it before.
func (r *recency) report(witness string, e evidence) {
	if witness == r.self || !slices.Contains(r.witnesses, witness) {
		return
	}
	r.hear(e.known)
	if old, ok := r.evidence[witness]; !ok || e.at > old.at {
		r.evidence[witness] = e
	}
}

func (r *recency) pollStarted(now instant) { r.polling, r.pollSent = true, now }

func (r *recency) pollEnded(ok bool) { r.polling, r.failed = false, !ok }

// unreachable reports whether this host, which polls, cannot reach the key-value service.
func (r *recency) unreachable(now instant) bool {
	return r.failed || r.polling && now-r.pollSent > pollOverdue
}

// supports reports whether this host as a witness supports status outage. A restarted witness has lost its
// announcements; those made before its start are settled once a confirmation is announceSettled later.
func (r *recency) supports(now instant) bool {
	if r.silent || !slices.Contains(r.witnesses, r.self) || !r.unreachable(now) {
		return false
	}
	return r.confirmed > r.start+announceSettled || r.supportAtStart && r.confirmed >= r.start
}

// reports returns the evidence to pass along.
func (r *recency) reports(now instant) []evidenceRecord {
	var out []evidenceRecord
	if r.supports(now) {
		out = append(out, evidenceRecord{Witness: r.self, Known: r.known})
	}
	for _, id := range r.witnesses {
		if e, ok := r.evidence[id]; ok && now-e.at <= evidenceLimit {
			out = append(out, evidenceRecord{Witness: id, Known: e.known, AgeMS: ceilMS(now - e.at)})
		}
	}
	return out
}

// status is the status at the instant now.
func (r *recency) status(now instant) confview.Status {
	if r.revision < 0 {
		return confview.Starting
	}
	if r.confirmed != never && (now-r.confirmed <= freshLimit || r.ignoreAge) {
		return confview.Fresh
	}
	if r.known > r.revision {
		return confview.Isolated
	}
	votes := 0
	for _, id := range r.witnesses {
		e, ok := r.evidence[id]
		if id == r.self {
			e, ok = evidence{at: now, known: r.known}, r.supports(now)
		}
		if ok && now-e.at <= evidenceLimit && e.known <= r.revision {
			votes++
		}
	}
	if votes > len(r.witnesses)/2 {
		return confview.Outage
	}
	return confview.Isolated
}

// restrictions returns the unresolved restrictions in the order of their ids.
func (r *recency) restrictions() []manifest.Restriction {
	ids := r.pendingIDs()
	out := make([]manifest.Restriction, len(ids))
	for i, id := range ids {
		out[i] = r.pending[id].restriction
	}
	return out
}

func (r *recency) pendingIDs() []string {
	ids := make([]string, 0, len(r.pending))
	for id := range r.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
