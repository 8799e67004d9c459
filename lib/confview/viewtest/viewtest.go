// Package viewtest holds a confview.View whose content is set by the test or demo that uses it.
package viewtest

import (
	"sync"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// View implements confview.View.
type View struct {
	mu     sync.Mutex
	snap   *confview.Snapshot
	status confview.Status
	subs   map[chan struct{}]struct{}
}

// New returns a view with the given snapshot in status Fresh. Missing parts of the snapshot are filled in.
func New(snap *confview.Snapshot) *View {
	v := &View{status: confview.Fresh, subs: map[chan struct{}]struct{}{}}
	v.Set(snap)
	return v
}

// Set replaces the snapshot.
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
	v.snap = snap
	v.notifyLocked()
}

// SetStatus replaces the status. Subscribers are told only if notify is set: the status of a real view also
// changes with time alone.
func (v *View) SetStatus(s confview.Status, notify bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status = s
	if notify {
		v.notifyLocked()
	}
}

func (v *View) notifyLocked() {
	for ch := range v.subs {
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
	return v.snap
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
	v.subs[ch] = struct{}{}
	return ch, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.subs, ch)
	}
}

// Members implements confview.View.
func (v *View) Members() []confview.Member { return nil }

// Self implements confview.View.
func (v *View) Self() string { return "test" }
