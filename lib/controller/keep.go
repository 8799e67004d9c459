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
	// roleGateway is the mesh role of gateways.
	roleGateway = "gateway"
	// unseenAfter is the time after which a gateway loses its slots, and the time that a new one must
	// have been seen before it gets any, so that a restarting host moves no slots twice.
	unseenAfter = 5 * time.Second
	// witnessPause is the time between two changes of the witness list, in which every host learns of the
	// first one. Two changes at once could give two majorities without a common witness.
	witnessPause = 5 * time.Second
	// witnessesPerZone is the number of witnesses wanted in each zone.
	witnessesPerZone = 2
)

// errNoChange ends an update that has become unnecessary.
var errNoChange = errors.New("controller: manifest needs no change")

// keeper keeps the slot table and the witness list. It is used by one goroutine.
type keeper struct {
	begun     time.Time
	first     map[string]time.Time // gateways by the time they were first seen
	last      map[string]time.Time // hosts by the time they were last seen
	witnessed time.Time            // last change of the witness list
	compacted time.Time            // last call of the compactor
}

// keepManifest works on the manifest until the term ends or a stop is asked for.
func (tm *term) keepManifest(ctx context.Context, stop <-chan struct{}) {
	if tm.deps.Manifest == nil {
		return
	}
	k := &keeper{begun: time.Now(), first: map[string]time.Time{}, last: map[string]time.Time{}}
	tick := time.NewTicker(keepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-stop:
			return
		case <-tick.C:
			if err := tm.keep(ctx, k); err != nil && !errors.Is(err, errNoChange) {
				tm.deps.Log.Warn("manifest not changed", "err", err)
			}
		}
	}
}

func (tm *term) keep(ctx context.Context, k *keeper) error {
	if tm.deps.View.Status() != confview.Fresh || !tm.held() {
		return nil
	}
	snap := tm.deps.View.Snapshot()
	k.observe(time.Now(), tm.deps.View.Members())
	if k.change(time.Now(), snap, snap.Manifest) != nil {
		if err := tm.updateManifest(ctx, k); err != nil {
			return err
		}
	}
	if tm.deps.Compactor == nil || time.Since(k.compacted) < compactPeriod {
		return nil
	}
	k.compacted = time.Now()
	ctx, cancel := context.WithTimeout(ctx, orderDeadline)
	defer cancel()
	return tm.deps.Compactor.Compact(ctx)
}

// updateManifest writes the wanted slots and witnesses. The witness list is wanted relative to the one known
// before: a repeated attempt after a lost answer must not make a second change at once.
func (tm *term) updateManifest(ctx context.Context, k *keeper) error {
	ctx, cancel := context.WithTimeout(ctx, 2*kvDeadline)
	defer cancel()
	var base, wanted []string
	_, err := tm.deps.Manifest.Update(ctx, func(m *manifest.Manifest) (manifest.Restriction, error) {
		if !tm.held() {
			return manifest.Restriction{}, errTermOver
		}
		next := k.change(time.Now(), tm.deps.View.Snapshot(), m)
		if next == nil {
			return manifest.Restriction{}, errNoChange
		}
		if wanted == nil {
			base, wanted = slices.Clone(m.Witnesses), next.witnesses
		}
		r := manifest.Restriction{Base: m.Revision, SlotsLost: lost(m.Slots.Owners, next.owners)}
		if !slices.Equal(m.Slots.Owners, next.owners) {
			m.Slots = m.Slots.Next(next.owners)
		}
		if slices.Equal(m.Witnesses, base) {
			m.Witnesses = wanted
		}
		return r, nil
	})
	if !slices.Equal(base, wanted) {
		k.witnessed = time.Now() // also after an error: the write may have taken effect
	}
	return err
}

// kept is the part of the manifest that the controller keeps.
type kept struct{ owners, witnesses []string }

// change returns what m should hold, or nil if it is right as it is.
func (k *keeper) change(now time.Time, snap *confview.Snapshot, m *manifest.Manifest) *kept {
	listed := map[string]hostlist.Host{}
	for _, h := range snap.Hosts {
		if h.Role == hostlist.RoleEntry {
			listed[h.ID] = h
		}
	}
	next := &kept{assignSlots(m.Slots.Owners, k.live(now, m.Slots.Owners, listed)), m.Witnesses}
	if now.Sub(k.witnessed) >= witnessPause && now.Sub(k.begun) >= witnessPause {
		next.witnesses = nextWitnesses(m.Witnesses, listed, func(id string) bool {
			return !k.first[id].IsZero() && now.Sub(k.last[id]) < unseenAfter && now.Sub(k.first[id]) >= unseenAfter
		})
	}
	if slices.Equal(next.owners, m.Slots.Owners) && slices.Equal(next.witnesses, m.Witnesses) {
		return nil
	}
	return next
}

// observe notes which gateways are seen.
func (k *keeper) observe(now time.Time, members []confview.Member) {
	for _, m := range members {
		if m.Role != roleGateway {
			continue
		}
		if m.Leaving {
			delete(k.first, m.ID)
			k.last[m.ID] = now.Add(-time.Hour) // gives up its slots at once
			continue
		}
		if seen := now.Add(-time.Duration(m.AgeMS) * time.Millisecond); seen.After(k.last[m.ID]) {
			if now.Sub(k.last[m.ID]) > 2*unseenAfter || k.first[m.ID].IsZero() {
				k.first[m.ID] = now
			}
			k.last[m.ID] = seen
		}
	}
}

// live returns the gateways that may own slots: present owners until they are unseen for unseenAfter, and
// others once they were seen for that long. A new controller counts every owner as just seen.
func (k *keeper) live(now time.Time, owners []string, listed map[string]hostlist.Host) []string {
	owns := map[string]bool{}
	for _, o := range owners {
		owns[o] = o != ""
	}
	var out []string
	for id := range owns {
		seen := k.last[id]
		if seen.IsZero() {
			seen = k.begun
		}
		if owns[id] && now.Sub(seen) < unseenAfter && !listed[id].Leaving {
			out = append(out, id)
		}
	}
	for id, first := range k.first {
		if !owns[id] && now.Sub(first) >= unseenAfter && now.Sub(k.last[id]) < unseenAfter && !listed[id].Leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// assignSlots spreads the slots evenly over the live hosts and moves as few as that needs. Without a live
// host the table stays as it is.
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
	quota := quotas(live, count)
	kept := make(map[string]int, len(live))
	for i, o := range next {
		if o == "" {
			continue
		}
		if kept[o] == quota[o] {
			next[i] = ""
			continue
		}
		kept[o]++
	}
	for i, o := range next {
		if o != "" {
			continue
		}
		to := slices.MaxFunc(live, func(a, b string) int {
			return cmp.Or(cmp.Compare(quota[a]-kept[a], quota[b]-kept[b]), cmp.Compare(b, a))
		})
		next[i] = to
		kept[to]++
	}
	return next
}

// quotas gives each host its even share; the remainder goes to the hosts that own most.
func quotas(live []string, count map[string]int) map[string]int {
	order := slices.Clone(live)
	slices.SortFunc(order, func(a, b string) int { return cmp.Or(-cmp.Compare(count[a], count[b]), cmp.Compare(a, b)) })
	quota := make(map[string]int, len(order))
	for i, id := range order {
		quota[id] = manifest.SlotCount / len(order)
		if i < manifest.SlotCount%len(order) {
			quota[id]++
		}
	}
	return quota
}

// lost returns the slots whose owner gives them up.
func lost(old, next []string) []int {
	var out []int
	for i, o := range old {
		if o != "" && i < len(next) && next[i] != o {
			out = append(out, i)
		}
	}
	return out
}

// nextWitnesses returns the witness list with at most one host removed or one added: any two majorities of
// it and of the list before share a witness. A witness goes when the host list does not name it any more, and only
// then one that is leaving or above the number of its zone: removing a live witness while others are gone could
// leave no majority.
func nextWitnesses(witnesses []string, listed map[string]hostlist.Host, steady func(id string) bool) []string {
	gone := func(id string) bool { _, ok := listed[id]; return !ok }
	zones := map[string]int{}
	surplus := func(id string) bool {
		zone := listed[id].Zone
		zones[zone]++
		return listed[id].Leaving || zones[zone] > witnessesPerZone
	}
	for _, leaves := range []func(id string) bool{gone, surplus} {
		if i := slices.IndexFunc(witnesses, leaves); i >= 0 {
			return slices.Delete(slices.Clone(witnesses), i, i+1)
		}
	}
	var add string
	for id, h := range listed {
		if h.Leaving || slices.Contains(witnesses, id) || zones[h.Zone] >= witnessesPerZone || !steady(id) {
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
