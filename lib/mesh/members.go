package mesh

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cuminhook.org/cuminhook/lib/confview"
)

// member is another member with the instant it was last heard of.
type member struct {
	record
	tag  uint32
	seen instant
}

// members is the membership table of a host.
type members struct {
	self record // Revision and Status are filled in when sent
	rand *rand.Rand
	all  map[string]*member
	ids  []string // of all, in order
	tags map[uint32]string
	next int // position in the rotation of records sent

	regular []string // partners of exchanges for some time
	renewed instant  // when one of them was last replaced
}

func newMembers(self record, r *rand.Rand) members {
	return members{self: self, rand: r, all: map[string]*member{}, tags: map[uint32]string{}}
}

// learn merges a record that was made AgeMS before the instant at. A record heard of more recently wins.
func (m *members) learn(rec record, at instant) {
	seen := at - ms(rec.AgeMS)
	if rec.ID == "" || rec.ID == m.self.ID || at-seen > forgetLimit {
		return
	}
	old, ok := m.all[rec.ID]
	if !ok {
		m.all[rec.ID] = &member{record: rec, tag: rec.tag(), seen: seen}
		m.tags[rec.tag()] = rec.ID
		i, _ := slices.BinarySearch(m.ids, rec.ID)
		m.ids = slices.Insert(m.ids, i, rec.ID)
		return
	}
	if seen <= old.seen {
		return
	}
	if rec.Boot == old.Boot {
		rec.Revision = max(rec.Revision, old.Revision)
		rec.Leaving = rec.Leaving || old.Leaving
	}
	if tag := rec.tag(); tag != old.tag {
		delete(m.tags, old.tag)
		m.tags[tag], old.tag = rec.ID, tag
	}
	old.record, old.seen = rec, seen
}

// learnBrief merges brief records of a sender that has the given revision. It returns the tags it does not know.
func (m *members) learnBrief(recs []brief, revision int64, at instant) []uint32 {
	var unknown []uint32
	for _, b := range recs {
		o, ok := m.all[m.tags[b.Tag]]
		if !ok {
			unknown = append(unknown, b.Tag)
			continue
		}
		rec := o.record
		rec.Leaving, rec.Revision, rec.Status, rec.AgeMS = b.Leaving, revision+b.Revision, b.Status, b.AgeMS
		m.learn(rec, at)
	}
	return unknown
}

// whole returns the records with the given tags.
func (m *members) whole(tags []uint32, now instant) []record {
	var out []record
	for _, tag := range tags {
		if o, ok := m.all[m.tags[tag]]; ok {
			rec := o.record
			rec.AgeMS = ceilMS(now - o.seen)
			out = append(out, rec)
		}
	}
	return out
}

// expire drops members not heard of for forgetLimit.
func (m *members) expire(now instant) {
	m.ids = slices.DeleteFunc(m.ids, func(id string) bool {
		old := now-m.all[id].seen > forgetLimit
		if old {
			delete(m.tags, m.all[id].tag)
			delete(m.all, id)
		}
		return old
	})
}

func (m *members) live(id string, now instant) bool {
	if id == m.self.ID {
		return true
	}
	o, ok := m.all[id]
	return ok && now-o.seen <= liveLimit && !o.Leaving
}

// watchers returns the ids of the gateways that poll for a zone, by rendezvous hashing over its live gateways.
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
	for _, o := range m.all {
		if now-o.seen <= liveLimit {
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

// records returns up to n records to send, in rotation over the table.
func (m *members) records(n int, revision int64, now instant) []brief {
	ids := m.ids
	if len(ids) == 0 {
		return nil
	}
	out := make([]brief, 0, min(n, len(ids)))
	for i := 0; i < len(ids) && len(out) < n; i++ {
		o := m.all[ids[(m.next+i)%len(ids)]]
		out = append(out, brief{o.tag, o.Leaving, o.Revision - revision, o.Status, ceilMS(now - o.seen)})
	}
	m.next = (m.next + len(out)) % len(ids)
	return out
}

// partners returns up to n distinct live members at random, leaving out those in skip.
func (m *members) partners(n int, now instant, skip ...string) []string {
	var out []string
	usable := func(id string) bool {
		return m.live(id, now) && !slices.Contains(skip, id) && !slices.Contains(out, id)
	}
	// Most members are live, so that a few draws suffice; the pass over the table finds the last ones.
	for range min(4*n, len(m.ids)) {
		if id := m.ids[m.rand.IntN(len(m.ids))]; len(out) < n && usable(id) {
			out = append(out, id)
		}
	}
	for i, k := 0, m.rand.IntN(max(1, len(m.ids))); i < len(m.ids) && len(out) < n; i++ {
		if id := m.ids[(k+i)%len(m.ids)]; usable(id) {
			out = append(out, id)
		}
	}
	return out
}

// regulars returns up to n of a few partners, one of which is replaced each regularPeriod. A partner drawn anew each
// time would need a new connection, whose type descriptions are several times the size of an exchange.
func (m *members) regulars(n int, now instant, skip ...string) []string {
	m.regular = slices.DeleteFunc(m.regular, func(id string) bool { return !m.live(id, now) })
	if now-m.renewed > regularPeriod && len(m.regular) == regularCount {
		m.regular, m.renewed = slices.Delete(m.regular, 0, 1), now
	}
	if lack := regularCount - len(m.regular); lack > 0 {
		m.regular = append(m.regular, m.partners(lack, now, append(m.regular, m.self.ID)...)...)
	}
	var out []string
	for i, k := 0, m.rand.IntN(max(1, len(m.regular))); i < len(m.regular) && len(out) < n; i++ {
		if id := m.regular[(k+i)%len(m.regular)]; !slices.Contains(skip, id) {
			out = append(out, id)
		}
	}
	return out
}

// view returns the members for confview.
func (m *members) view(now instant) []confview.Member {
	out := make([]confview.Member, 0, len(m.all))
	for _, id := range m.ids {
		o := m.all[id]
		out = append(out, confview.Member{
			ID: o.ID, Role: o.Role, Zone: o.Zone, Addr: o.Addr, Boot: o.Boot, Leaving: o.Leaving,
			Revision: o.Revision, AgeMS: ceilMS(now - o.seen), Status: confview.Status(o.Status),
		})
	}
	return out
}
