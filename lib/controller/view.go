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

// ViewKey returns the key of a cell's placement view in the key-value service.
func ViewKey(cell string) string { return "cell/" + cell + "/view" }

// publish stores the view if it has changed. After an error it waits a second before the next attempt, or ends the term
// if another controller has taken over.
func (tm *term) publish(ctx context.Context, snap *confview.Snapshot) {
	if time.Now().Before(tm.viewRetryAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	if err := tm.publishView(ctx, snap); err != nil {
		if errors.Is(err, errTermOver) || errors.Is(err, ledger.ErrSuperseded) {
			tm.fail(errTermOver)
			return
		}
		tm.viewRetryAt = time.Now().Add(time.Second)
		tm.deps.Log.Warn("placement view not stored", "err", err)
	}
}

// publishView stores the view if it has changed.
func (tm *term) publishView(ctx context.Context, snap *confview.Snapshot) error {
	if tm.view == nil {
		// The stored view is rewritten first, so that a late write of an earlier controller fails.
		stored, version, err := tm.readView(ctx)
		if err != nil {
			return err
		}
		if err := tm.storeView(ctx, stored.Targets, stored.Version+1, version); err != nil {
			return err
		}
	}
	targets := tm.targetViews(snap)
	if !slices.EqualFunc(targets, tm.view.Targets, equalTargetViews) {
		return tm.storeView(ctx, targets, tm.view.Version+1, tm.viewVersion)
	}
	return nil
}

// readView reads the stored view. It returns ledger.ErrSuperseded if a newer controller has written it.
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

// storeView replaces the version expect of the stored view by one with the targets and the view version number.
func (tm *term) storeView(ctx context.Context, targets []placement.TargetView, number int64, expect kv.Version) error {
	v := &placement.View{Epoch: tm.epoch, Version: number, Targets: targets}
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if !tm.leaseValid() {
		return errTermOver
	}
	version, err := ledger.PutResolved(ctx, tm.deps.KV, ViewKey(tm.cfg.Cell), data, expect)
	tm.targetsMu.Lock()
	defer tm.targetsMu.Unlock()
	tm.markListed(time.Now())
	if err != nil {
		tm.view = nil // the write may have taken effect, so the view is read again
		return err
	}
	tm.view, tm.viewVersion = v, version
	tm.metrics.viewsPublished.Inc()
	return nil
}

// markListed records that the routes of the present view were in force until now. The caller holds targetsMu.
func (tm *term) markListed(now time.Time) {
	if tm.view == nil {
		return
	}
	for k, at := range tm.lastListed {
		if now.Sub(at) > viewPropagationDelay {
			delete(tm.lastListed, k)
		}
	}
	for i := range tm.view.Targets {
		v := &tm.view.Targets[i]
		for _, kind := range []string{placement.KindModel, placement.KindAdapter} {
			for _, name := range entryNames(v, kind) {
				tm.lastListed[route{v.ID, entryKey{kind, name}}] = now
			}
		}
	}
}

func equalTargetViews(a, b placement.TargetView) bool {
	return a.ID == b.ID && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Adapters, b.Adapters)
}

// targetViews returns the targets with the models and adapters to which requests may be routed: those that are confirmed
// as resident and not about to be unloaded. A model without such a copy is listed, as a last resort, at targets that
// may still have it.
func (tm *term) targetViews(snap *confview.Snapshot) []placement.TargetView {
	now := time.Now()
	tm.targetsMu.Lock()
	defer tm.targetsMu.Unlock()
	confirmedModels := map[string]bool{}
	for _, t := range tm.targets {
		if !t.alive(now) || t.host.Leaving || t.ledger == nil || !t.ledger.Reconciled() {
			continue
		}
		for i := range t.ledger.Entries {
			if e := &t.ledger.Entries[i]; e.Kind == placement.KindModel && e.State() == ledger.Resident &&
				t.retiring[entryKey{e.Kind, e.Name}] == nil {
				confirmedModels[e.Name] = true
			}
		}
	}
	out := make([]placement.TargetView, 0, len(tm.targets))
	for _, t := range tm.targets {
		out = append(out, tm.targetView(t, snap, confirmedModels, now))
	}
	slices.SortFunc(out, func(a, b placement.TargetView) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// targetView returns the view of one target. confirmedModels names the models with a confirmed copy at any target.
func (tm *term) targetView(
	t *target, snap *confview.Snapshot, confirmedModels map[string]bool, now time.Time,
) placement.TargetView {
	v := placement.TargetView{ID: t.id, Addr: t.host.Addr, Zone: t.host.Zone, Slots: t.slots, Leaving: t.host.Leaving}
	if t.ledger == nil || !t.ledger.Reconciled() {
		if i := slices.IndexFunc(tm.view.Targets, func(o placement.TargetView) bool { return o.ID == t.id }); i >= 0 {
			old := tm.view.Targets[i]
			v.Slots, v.Models, v.Adapters = old.Slots, old.Models, old.Adapters
		}
		return v
	}
	alive := t.alive(now)
	for i := range t.ledger.Entries {
		e := &t.ledger.Entries[i]
		confirmed := alive && e.State() == ledger.Resident && t.retiring[entryKey{e.Kind, e.Name}] == nil
		if e.Kind == placement.KindAdapter {
			if confirmed {
				v.Adapters = append(v.Adapters, e.Name)
			}
			continue
		}
		if _, ok := snap.State.Models[e.Name]; !ok {
			continue
		}
		if confirmed || !confirmedModels[e.Name] && e.Presence != ledger.Absent &&
			e.State() != ledger.Intended && e.State() != ledger.Loading {
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
