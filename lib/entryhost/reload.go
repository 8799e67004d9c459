package entryhost

import (
	"reflect"
	"slices"
)

// reloadable are the keys of settings that a running host takes over.
var reloadable = []string{"store", "grace", "stop_delay"}

// movableStore is a Store whose address can change while it is used.
type movableStore interface {
	// SetAddr has all further calls go to the address. Reads that wait at the former one end.
	SetAddr(addr string)
}

// Reload takes over the settings that can change while the host runs, and returns the keys of those that it took over and of those
// that differ and take effect at the next start.
func (h *Host) Reload(s Settings) (applied, later []string) {
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	for _, key := range changedKeys(h.current, s) {
		if slices.Contains(reloadable, key) {
			applied = append(applied, key)
		} else {
			later = append(later, key)
		}
	}
	if store, ok := h.cfg.Store.(movableStore); ok && s.Store != h.current.Store {
		store.SetAddr(s.Store)
		h.storeWatcher.PollNow()
	}
	h.current.Store, h.current.Grace, h.current.StopDelay = s.Store, s.Grace, s.StopDelay
	return applied, later
}

// changedKeys returns the keys whose values differ.
func changedKeys(a, b Settings) (keys []string) {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			keys = append(keys, va.Type().Field(i).Tag.Get("yaml"))
		}
	}
	return keys
}
