package mesh

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/confview"
)

// member is another member of the mesh with the instant of the last contact, direct or through others.
type member struct {
	record
	tag         uint32 // of record
	lastContact instant
}

// members is the membership table of a node.
type members struct {
	self      record // Revision and Status are filled in when sent
	rand      *rand.Rand
	byID      map[string]*member
	sortedIDs []string // keys of byID, sorted
	idByTag   map[uint32]string
	nextIndex int // index into sortedIDs of the next record to send

	stablePartners    []string // exchange partners that change slowly
	partnerReplacedAt instant  // when a stable partner was last replaced
}

func newMembers(self record, r *rand.Rand) members {
	return members{self: self, rand: r, byID: map[string]*member{}, idByTag: map[uint32]string{}}
}

// mergeRecord merges a record whose last contact with the member was rec.AgeMS before the instant at. The record with
// the later contact wins.
func (m *members) mergeRecord(rec record, at instant) {
	lastContact := at - ms(rec.AgeMS)
	if rec.ID == "" || rec.ID == m.self.ID || at-lastContact > forgetTimeout {
		return
	}
	old, ok := m.byID[rec.ID]
	if !ok {
		m.byID[rec.ID] = &member{record: rec, tag: rec.tag(), lastContact: lastContact}
		m.idByTag[rec.tag()] = rec.ID
		i, _ := slices.BinarySearch(m.sortedIDs, rec.ID)
		m.sortedIDs = slices.Insert(m.sortedIDs, i, rec.ID)
		return
	}
	if lastContact <= old.lastContact {
		return
	}
	if rec.Boot == old.Boot {
		rec.Revision = max(rec.Revision, old.Revision)
		rec.Leaving = rec.Leaving || old.Leaving
	}
	if tag := rec.tag(); tag != old.tag {
		delete(m.idByTag, old.tag)
		m.idByTag[tag], old.tag = rec.ID, tag
	}
	old.record, old.lastContact = rec, lastContact
}

// mergeBrief merges brief records from a sender that has the given revision. It returns the tags of unknown members.
func (m *members) mergeBrief(recs []brief, revision int64, at instant) []uint32 {
	var unknown []uint32
	for _, b := range recs {
		o, ok := m.byID[m.idByTag[b.Tag]]
		if !ok {
			unknown = append(unknown, b.Tag)
			continue
		}
		rec := o.record
		rec.Leaving, rec.Revision, rec.Status, rec.AgeMS = b.Leaving, revision+b.Revision, b.Status, b.AgeMS
		m.mergeRecord(rec, at)
	}
	return unknown
}

// recordsByTag returns the full records of the members with the given tags.
func (m *members) recordsByTag(tags []uint32, now instant) []record {
	var out []record
	for _, tag := range tags {
		if o, ok := m.byID[m.idByTag[tag]]; ok {
			rec := o.record
			rec.AgeMS = ceilMS(now - o.lastContact)
			out = append(out, rec)
		}
	}
	return out
}

// expire removes the members whose last contact is more than forgetTimeout ago.
func (m *members) expire(now instant) {
	m.sortedIDs = slices.DeleteFunc(m.sortedIDs, func(id string) bool {
		old := now-m.byID[id].lastContact > forgetTimeout
		if old {
			delete(m.idByTag, m.byID[id].tag)
			delete(m.byID, id)
		}
		return old
	})
}

// isLive reports whether id is this node, or a member that is not leaving and whose last contact is at most liveTimeout
// ago.
func (m *members) isLive(id string, now instant) bool {
	if id == m.self.ID {
		return true
	}
	o, ok := m.byID[id]
	return ok && now-o.lastContact <= liveTimeout && !o.Leaving
}

// watchers returns the ids of the gateways that poll the key-value service on behalf of a zone. They are chosen by
// rendezvous hashing among the live gateways of the zone.
func (m *members) watchers(zone string, now instant) []string {
	type ranked struct {
		id   string
		hash uint64
	}
	var all []ranked
	add := func(r record) {
		if r.Role == RoleGateway && r.Zone == zone && !r.Leaving {
			all = append(all, ranked{r.ID, xxhash.Sum64String(zone + "/" + r.ID)})
		}
	}
	add(m.self)
	for _, o := range m.byID {
		if now-o.lastContact <= liveTimeout {
			add(o.record)
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, 0, watchersPerZone)
	for _, r := range all[:min(len(all), watchersPerZone)] {
		ids = append(ids, r.id)
	}
	return ids
}

// nextRecords returns up to n records to send, in rotation over the table. The revisions are relative to the given one.
func (m *members) nextRecords(n int, revision int64, now instant) []brief {
	ids := m.sortedIDs
	if len(ids) == 0 {
		return nil
	}
	out := make([]brief, 0, min(n, len(ids)))
	for i := 0; i < len(ids) && len(out) < n; i++ {
		o := m.byID[ids[(m.nextIndex+i)%len(ids)]]
		out = append(out, brief{o.tag, o.Leaving, o.Revision - revision, o.Status, ceilMS(now - o.lastContact)})
	}
	m.nextIndex = (m.nextIndex + len(out)) % len(ids)
	return out
}

// randomLive returns up to n distinct live members, chosen at random, except those in skip.
func (m *members) randomLive(n int, now instant, skip ...string) []string {
	var out []string
	usable := func(id string) bool {
		return m.isLive(id, now) && !slices.Contains(skip, id) && !slices.Contains(out, id)
	}
	// Most members are live, so a few random draws usually suffice. The pass over the table finds the remaining ones.
	for range min(4*n, len(m.sortedIDs)) {
		if id := m.sortedIDs[m.rand.IntN(len(m.sortedIDs))]; len(out) < n && usable(id) {
			out = append(out, id)
		}
	}
	for i, k := 0, m.rand.IntN(max(1, len(m.sortedIDs))); i < len(m.sortedIDs) && len(out) < n; i++ {
		if id := m.sortedIDs[(k+i)%len(m.sortedIDs)]; usable(id) {
			out = append(out, id)
		}
	}
	return out
}

// randomStable returns up to n of the stable partners, except those in skip. One stable partner is replaced every
// partnerReplacePeriod. A partner drawn afresh for each exchange would need a new connection, on which gob first sends
// type descriptions several times the size of an exchange.
func (m *members) randomStable(n int, now instant, skip ...string) []string {
	m.stablePartners = slices.DeleteFunc(m.stablePartners, func(id string) bool { return !m.isLive(id, now) })
	if now-m.partnerReplacedAt > partnerReplacePeriod && len(m.stablePartners) == stablePartnerCount {
		m.stablePartners, m.partnerReplacedAt = slices.Delete(m.stablePartners, 0, 1), now
	}
	if lack := stablePartnerCount - len(m.stablePartners); lack > 0 {
		m.stablePartners = append(m.stablePartners, m.randomLive(lack, now, append(m.stablePartners, m.self.ID)...)...)
	}
	var out []string
	for i, k := 0, m.rand.IntN(max(1, len(m.stablePartners))); i < len(m.stablePartners) && len(out) < n; i++ {
		if id := m.stablePartners[(k+i)%len(m.stablePartners)]; !slices.Contains(skip, id) {
			out = append(out, id)
		}
	}
	return out
}

// list returns the members in the order of their ids.
func (m *members) list(now instant) []confview.Member {
	out := make([]confview.Member, 0, len(m.byID))
	for _, id := range m.sortedIDs {
		o := m.byID[id]
		out = append(out, confview.Member{
			ID: o.ID, Role: o.Role, Zone: o.Zone, Addr: o.Addr, Boot: o.Boot, Leaving: o.Leaving,
			Revision: o.Revision, AgeMS: ceilMS(now - o.lastContact), Status: confview.Status(o.Status),
		})
	}
	return out
}
