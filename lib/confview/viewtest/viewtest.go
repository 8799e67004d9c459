// Package viewtest provides a confview.View whose content is set by the test or demo that uses it.
package viewtest

import (
	"sync"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// View implements confview.View. It is safe for concurrent use.
type View struct {
	mu          sync.Mutex
	snapshot    *confview.Snapshot         // guarded by mu
	status      confview.Status            // guarded by mu
	subscribers map[chan struct{}]struct{} // guarded by mu
}

// New returns a view with the given snapshot in status Fresh; see Set.
func New(snap *confview.Snapshot) *View {
	v := &View{status: confview.Fresh, subscribers: map[chan struct{}]struct{}{}}
	v.Set(snap)
	return v
}

// Set replaces the snapshot and notifies subscribers. It sets nil pointers of snap to empty values.
func (v *View) Set(snap *confview.Snapshot) {
	if snap.Manifest == nil {
		snap.Manifest = &manifest.Manifest{}
	}
	if snap.State == nil {
		snap.State = &ticket.State{}
	}
	if snap.Placement == nil {
		snap.Placement = &placement.View{}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.snapshot = snap
	v.notifyLocked()
}

// SetStatus replaces the status. It notifies subscribers only if notify is set: the status of a real view also changes
// with the passing of time alone.
func (v *View) SetStatus(s confview.Status, notify bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status = s
	if notify {
		v.notifyLocked()
	}
}

// notifyLocked sends a value to each subscriber that has none waiting. The caller holds mu.
func (v *View) notifyLocked() {
	for ch := range v.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Snapshot implements confview.View.
func (v *View) Snapshot() *confview.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot
}

// Status implements confview.View.
func (v *View) Status() confview.Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status
}

// Subscribe implements confview.View.
func (v *View) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers[ch] = struct{}{}
	return ch, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.subscribers, ch)
	}
}

// Members implements confview.View.
func (v *View) Members() []confview.Member { return nil }

// Self implements confview.View.
func (v *View) Self() string { return "test" }
