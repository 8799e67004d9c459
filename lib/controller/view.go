package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/ledger"
	"cuminhook.org/cuminhook/lib/placement"
)

// ViewKey returns the key of a cell's placement view.
func ViewKey(cell string) string { return "cell/" + cell + "/view" }

// publish stores the view if it has changed.
func (tm *term) publish(ctx context.Context, snap *confview.Snapshot) {
	if time.Now().Before(tm.viewRetry) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, kvDeadline)
	defer cancel()
	if err := tm.publishView(ctx, snap); err != nil {
		if errors.Is(err, errTermOver) || errors.Is(err, ledger.ErrSuperseded) {
			tm.fail(errTermOver)
			return
		}
		tm.viewRetry = time.Now().Add(time.Second)
		tm.deps.Log.Warn("view not stored", "err", err)
	}
}

func (tm *term) publishView(ctx context.Context, snap *confview.Snapshot) error {
	if tm.view == nil {
		// The stored view is rewritten first, so that a predecessor's write cannot replace this term's.
		stored, version, err := tm.readView(ctx)
		if err != nil {
			return err
		}
		if err := tm.storeView(ctx, stored.Targets, stored.Version+1, version); err != nil {
			return err
		}
	}
	targets := tm.routes(snap)
	if !slices.EqualFunc(targets, tm.view.Targets, equalTarget) {
		return tm.storeView(ctx, targets, tm.view.Version+1, tm.viewVersion)
	}
	return nil
}

func (tm *term) readView(ctx context.Context) (*placement.View, kv.Version, error) {
	e, err := tm.deps.KV.Get(ctx, ViewKey(tm.cfg.Cell))
	if errors.Is(err, kv.ErrNotFound) {
		return &placement.View{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	v := &placement.View{}
	if err := json.Unmarshal(e.Value, v); err != nil {
		return nil, 0, err
	}
	if v.Epoch > tm.epoch {
		return nil, 0, ledger.ErrSuperseded
	}
	return v, e.Version, nil
}

func (tm *term) storeView(ctx context.Context, targets []placement.TargetView, number int64, expect kv.Version) error {
	v := &placement.View{Epoch: tm.epoch, Version: number, Targets: targets}
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if !tm.held() {
		return errTermOver
	}
	version, err := ledger.PutSure(ctx, tm.deps.KV, ViewKey(tm.cfg.Cell), data, expect)
	tm.state.Lock()
	defer tm.state.Unlock()
	tm.markListed(time.Now())
	if err != nil {
		tm.view = nil // read again; the write may have taken effect
		return err
	}
	tm.view, tm.viewVersion = v, version
	tm.met.views.Inc()
	return nil
}

// markListed notes that the entries of the present view were listed until now.
func (tm *term) markListed(now time.Time) {
	if tm.view == nil {
		return
	}
	for k, at := range tm.listed {
		if now.Sub(at) > viewDelay {
			delete(tm.listed, k)
		}
	}
	for i := range tm.view.Targets {
		v := &tm.view.Targets[i]
		for _, kind := range []string{placement.KindModel, placement.KindAdapter} {
			for _, name := range names(v, kind) {
				tm.listed[route{v.ID, entryKey{kind, name}}] = now
			}
		}
	}
}

func equalTarget(a, b placement.TargetView) bool {
	return a.ID == b.ID && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Adapters, b.Adapters)
}

// routes returns what may be routed where: confirmed residents that are not about to be unloaded. A model
// that has no such copy is listed where it may still be, as a last resort.
func (tm *term) routes(snap *confview.Snapshot) []placement.TargetView {
	now := time.Now()
	tm.state.Lock()
	defer tm.state.Unlock()
	certain := map[string]bool{}
	for _, t := range tm.targets {
		if !t.alive(now) || t.host.Leaving || t.ledger == nil || !t.ledger.Settled() {
			continue
		}
		for i := range t.ledger.Entries {
			if e := &t.ledger.Entries[i]; e.Kind == placement.KindModel && e.State() == ledger.Resident &&
				t.retiring[entryKey{e.Kind, e.Name}] == nil {
				certain[e.Name] = true
			}
		}
	}
	out := make([]placement.TargetView, 0, len(tm.targets))
	for _, t := range tm.targets {
		out = append(out, tm.routesTo(t, snap, certain, now))
	}
	slices.SortFunc(out, func(a, b placement.TargetView) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (tm *term) routesTo(t *target, snap *confview.Snapshot, certain map[string]bool, now time.Time) placement.TargetView {
	v := placement.TargetView{ID: t.id, Addr: t.host.Addr, Zone: t.host.Zone, Slots: t.slots, Leaving: t.host.Leaving}
	if t.ledger == nil || !t.ledger.Settled() {
		if i := slices.IndexFunc(tm.view.Targets, func(o placement.TargetView) bool { return o.ID == t.id }); i >= 0 {
			old := tm.view.Targets[i]
			v.Slots, v.Models, v.Adapters = old.Slots, old.Models, old.Adapters
		}
		return v
	}
	alive := t.alive(now)
	for i := range t.ledger.Entries {
		e := &t.ledger.Entries[i]
		sure := alive && e.State() == ledger.Resident && t.retiring[entryKey{e.Kind, e.Name}] == nil
		if e.Kind == placement.KindAdapter {
			if sure {
				v.Adapters = append(v.Adapters, e.Name)
			}
			continue
		}
		if _, ok := snap.State.Models[e.Name]; !ok {
			continue
		}
		if sure || !certain[e.Name] && e.Presence != ledger.Absent && e.State() != ledger.Intended && e.State() != ledger.Loading {
			v.Models = append(v.Models, e.Name)
		}
	}
	v.Adapters = slices.DeleteFunc(v.Adapters, func(name string) bool {
		a, ok := snap.State.Adapters[name]
		return !ok || !slices.Contains(v.Models, a.Model)
	})
	slices.Sort(v.Models)
	slices.Sort(v.Adapters)
	return v
}
