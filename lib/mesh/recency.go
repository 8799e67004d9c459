package mesh

import (
	"slices"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
)

// evidence is the newest report of a witness that it cannot reach the key-value service.
type evidence struct {
	reportedAt    instant // not later than the time at which the witness made the report
	knownRevision int64   // newest revision that the witness knew to exist
}

// pending is an announced write that is not resolved yet.
type pending struct {
	announcedAt instant // not earlier than the time of the announcement
	restriction manifest.Restriction
}

// recency determines how recent the configuration is (section 7.4 of the design page). It tracks confirmations of the
// installed revision, evidence of the witnesses, and announced writes.
type recency struct {
	self          string
	startedAt     instant
	revision      int64   // installed revision; -1 for none
	knownRevision int64   // newest revision known to exist; at least revision
	confirmedAt   instant // when revision was last confirmed as the newest; never if it was not
	witnesses     []string
	evidence      map[string]evidence // by id of the witness
	pending       map[string]pending  // by id of the announcement

	pollOutstanding bool    // a poll has been sent and not answered
	pollSentAt      instant // when the last poll was sent
	lastPollFailed  bool    // result of the last finished poll

	// Tests set these switches to disable single rules and show that the tested properties depend on them.
	ignoreAnnouncements bool
	supportAtStart      bool
	ignoreAge           bool
	withholdEvidence    bool // do not report evidence as a witness
}

func newRecency(self string, now instant) recency {
	return recency{
		self: self, startedAt: now, revision: -1, knownRevision: -1, confirmedAt: never,
		evidence: map[string]evidence{}, pending: map[string]pending{},
	}
}

// confirm records that the given revision was certainly the newest at the instant at. It ignores revisions other than
// the installed one.
func (r *recency) confirm(revision int64, at instant) {
	if revision != r.revision || at <= r.confirmedAt {
		return
	}
	r.confirmedAt = at
	r.dropResolved()
}

// install records the installation of a revision. It reports false, and changes nothing, if revision is not newer than
// the installed one.
func (r *recency) install(revision int64, witnesses []string) bool {
	if revision <= r.revision {
		return false
	}
	r.revision, r.witnesses = revision, witnesses
	r.observeRevision(revision)
	for id := range r.evidence {
		if !slices.Contains(witnesses, id) {
			delete(r.evidence, id)
		}
	}
	r.dropResolved()
	return true
}

// observeRevision records that a revision exists.
func (r *recency) observeRevision(revision int64) { r.knownRevision = max(r.knownRevision, revision) }

// addAnnouncement stores an announcement made at the instant at. It reports false if the announcement is already stored
// or resolved.
func (r *recency) addAnnouncement(id string, restriction manifest.Restriction, at instant) bool {
	if r.ignoreAnnouncements {
		return false
	}
	r.observeRevision(restriction.Base)
	if _, ok := r.pending[id]; ok || r.isResolved(pending{at, restriction}) {
		return false
	}
	r.pending[id] = pending{at, restriction}
	return true
}

// isResolved reports whether the announced write has certainly failed or is contained in the installed configuration.
func (r *recency) isResolved(p pending) bool {
	return r.revision > p.restriction.Base || r.confirmedAt > p.announcedAt+announceResolveDelay
}

// dropResolved removes the resolved announcements.
func (r *recency) dropResolved() {
	for id, p := range r.pending {
		if r.isResolved(p) {
			delete(r.pending, id)
		}
	}
}

// addEvidence stores the evidence of a witness. The caller must have stored the announcements that came with it.
func (r *recency) addEvidence(witness string, e evidence) {
	if witness == r.self || !slices.Contains(r.witnesses, witness) {
		return
	}
	r.observeRevision(e.knownRevision)
	if old, ok := r.evidence[witness]; !ok || e.reportedAt > old.reportedAt {
		r.evidence[witness] = e
	}
}

// pollStarted records that a poll is sent at the instant now.
func (r *recency) pollStarted(now instant) { r.pollOutstanding, r.pollSentAt = true, now }

// pollEnded records the result of a poll, or that this host does not poll.
func (r *recency) pollEnded(ok bool) { r.pollOutstanding, r.lastPollFailed = false, !ok }

// storeUnreachable reports whether this host, which must be polling, cannot reach the key-value service.
func (r *recency) storeUnreachable(now instant) bool {
	return r.lastPollFailed || r.pollOutstanding && now-r.pollSentAt > unreachableTimeout
}

// supportsOutage reports whether this host, as a witness, gives evidence for status outage. A restarted witness has lost
// the announcements that it acknowledged before; they are resolved once the configuration is confirmed later than
// announceResolveDelay after the start.
func (r *recency) supportsOutage(now instant) bool {
	if r.withholdEvidence || !slices.Contains(r.witnesses, r.self) || !r.storeUnreachable(now) {
		return false
	}
	return r.confirmedAt > r.startedAt+announceResolveDelay || r.supportAtStart && r.confirmedAt >= r.startedAt
}

// evidenceToSend returns the recent evidence of this host and of other witnesses for the reply of an exchange.
func (r *recency) evidenceToSend(now instant) []evidenceRecord {
	var out []evidenceRecord
	if r.supportsOutage(now) {
		out = append(out, evidenceRecord{Witness: r.self, Known: r.knownRevision})
	}
	for _, id := range r.witnesses {
		if e, ok := r.evidence[id]; ok && now-e.reportedAt <= maxEvidenceAge {
			out = append(out, evidenceRecord{Witness: id, Known: e.knownRevision, AgeMS: ceilMS(now - e.reportedAt)})
		}
	}
	return out
}

// status returns the status at the instant now. Outage needs the recent evidence of a majority of the witnesses, none of
// which knows of a newer revision.
func (r *recency) status(now instant) confview.Status {
	if r.revision < 0 {
		return confview.Starting
	}
	if r.confirmedAt != never && (now-r.confirmedAt <= maxFreshAge || r.ignoreAge) {
		return confview.Fresh
	}
	if r.knownRevision > r.revision {
		return confview.Isolated
	}
	votes := 0
	for _, id := range r.witnesses {
		e, ok := r.evidence[id]
		if id == r.self {
			e, ok = evidence{reportedAt: now, knownRevision: r.knownRevision}, r.supportsOutage(now)
		}
		if ok && now-e.reportedAt <= maxEvidenceAge && e.knownRevision <= r.revision {
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

// pendingIDs returns the sorted ids of the unresolved announcements.
func (r *recency) pendingIDs() []string {
	ids := make([]string, 0, len(r.pending))
	for id := range r.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
