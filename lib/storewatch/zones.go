package storewatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cuminhook.org/cuminhook/lib/bootclock"
	"cuminhook.org/cuminhook/lib/kv"
)

const (
	// zoneTTL is how long the states of a host repeat that an evacuation has ended. Hosts that do not poll for the fleet read the store
	// once a minute.
	zoneTTL = 90 * time.Second
	// lostZoneGrace is how long a zone stays evacuated whose key a restored store has lost, so that the operator can write it again.
	lostZoneGrace = 30 * time.Second
	// maxZoneBytes bounds the name of a zone, which hosts send to each other.
	maxZoneBytes = 256
)

// ZoneChange is the latest change of the evacuation of a zone: the operator has asked for it, or withdrawn the request.
type ZoneChange struct {
	Zone      string     `json:"z"`
	Evacuated bool       `json:"e,omitempty"`
	Version   kv.Version `json:"v"` // of the key, or of the store at or after its removal; changes of one zone are ordered by it
}

// zone is the evacuation of a zone as this host knows it.
type zone struct {
	ZoneChange
	observedAt time.Duration   // by the boot clock
	announced  [audiences]bool // states to which audiences the change was announced, by this host or another one
	lostSince  time.Time       // since when the key is missing from a restored store; zero: it is not
}

// Evacuations states which zones are evacuated.
type Evacuations struct {
	Zones    map[string]bool
	Returned []string // zones whose evacuation has ended since the last call
}

// applyZone applies a change unless a later one is known, and reports whether it is new. The caller holds mu.
func (w *Watcher) applyZone(c ZoneChange, announced [audiences]bool) bool {
	old := w.zones[c.Zone]
	if old != nil && c.Version <= old.Version || c.Zone == "" || len(c.Zone) > maxZoneBytes {
		return false
	}
	if old == nil || old.Evacuated != c.Evacuated {
		w.log.Info("zone", "zone", c.Zone, "evacuated", c.Evacuated, "era", int64(c.Version.Era()), "revision", c.Version.Revision())
	}
	w.zones[c.Zone] = &zone{ZoneChange: c, observedAt: bootclock.Now(), announced: announced}
	if !c.Evacuated {
		w.returnedZones = append(w.returnedZones, c.Zone)
	}
	return true
}

// applyZoneEntry applies one change of a key that evacuates a zone.
func (w *Watcher) applyZoneEntry(c kv.Change) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := strings.TrimPrefix(c.Key, w.codec.EvacuationPrefix())
	return w.applyZone(ZoneChange{Zone: name, Evacuated: !c.Deleted, Version: c.Version}, [audiences]bool{})
}

// replaceZones installs the keys of a full read that evacuate zones. A key that a restored store has lost counts for lostZoneGrace, as
// nobody has withdrawn the request.
func (w *Watcher) replaceZones(entries []kv.Entry, version kv.Version) {
	w.mu.Lock()
	var announced [audiences]bool
	if !w.snapshotRead { // other hosts know what this one finds when it starts
		announced = [audiences]bool{true, true}
	}
	changed, present := false, map[string]bool{}
	for _, e := range entries {
		name := strings.TrimPrefix(e.Key, w.codec.EvacuationPrefix())
		present[name] = true
		changed = w.applyZone(ZoneChange{Zone: name, Evacuated: true, Version: e.Version}, announced) || changed
	}
	for name, z := range w.zones {
		switch {
		case present[name]:
			z.lostSince = time.Time{}
		case !z.Evacuated || z.Version >= version:
		case z.Version.Era() < version.Era():
			w.noteLostZone(z)
		default:
			changed = w.applyZone(ZoneChange{Zone: name, Version: version}, announced) || changed
		}
	}
	w.mu.Unlock()
	w.publishZones()
	if changed {
		w.announceChanges()
	}
}

// noteLostZone notes that a restored store lacks the key of an evacuated zone. The caller holds mu.
func (w *Watcher) noteLostZone(z *zone) {
	if z.lostSince.IsZero() {
		z.lostSince = time.Now()
		w.log.Warn("restored store has lost the request to evacuate a zone; write it again to keep the zone evacuated", "zone", z.Zone,
			"kept_s", lostZoneGrace.Seconds())
	}
}

// expireZones ends the evacuation of zones whose keys a restored store has lost and nobody has written again.
func (w *Watcher) expireZones() {
	w.mu.Lock()
	changed, now := false, time.Now()
	for name, z := range w.zones {
		if z.Evacuated && !z.lostSince.IsZero() && now.Sub(z.lostSince) >= lostZoneGrace {
			changed = w.applyZone(ZoneChange{Zone: name, Version: kv.NewVersion(w.era, 0)}, [audiences]bool{}) || changed
		}
	}
	w.mu.Unlock()
	if changed {
		w.publishZones()
		w.announceChanges()
	}
}

// applyZoneChanges applies changes received from another host, and reports whether there are any to announce and whether a zone has
// changed. The caller holds mu.
func (w *Watcher) applyZoneChanges(list []ZoneChange, fromLeaf bool) (announce bool) {
	for _, c := range list {
		if w.applyZone(c, [audiences]bool{ToMesh: !fromLeaf}) {
			announce = true
		} else if z := w.zones[c.Zone]; z != nil && z.ZoneChange == c && !fromLeaf {
			z.announced[ToMesh] = true
		}
		// This host may have read a store that has lost the key before.
		if z := w.zones[c.Zone]; z != nil && z.Evacuated && z.Version.Era() < w.era {
			w.noteLostZone(z)
		}
	}
	return announce
}

// zoneChanges returns the evacuated zones, and those whose evacuation has ended within zoneTTL, for which include returns true. The
// caller holds mu.
func (w *Watcher) zoneChanges(include func(*zone) bool) (out []ZoneChange) {
	for _, z := range w.zones {
		if (z.Evacuated || bootclock.Now()-z.observedAt <= zoneTTL) && include(z) {
			out = append(out, z.ZoneChange)
		}
	}
	return out
}

// publishZones passes the evacuated zones to the handler.
func (w *Watcher) publishZones() {
	w.publishing.Lock()
	defer w.publishing.Unlock()
	w.mu.Lock()
	out := Evacuations{Zones: map[string]bool{}, Returned: w.returnedZones}
	w.returnedZones = nil
	for name, z := range w.zones {
		if z.Evacuated {
			out.Zones[name] = true
		}
	}
	published := w.publishedZones
	w.publishedZones = out.Zones
	w.mu.Unlock()
	slices.Sort(out.Returned)
	if w.handlers.OnZones != nil && (len(out.Returned) > 0 || !maps.Equal(out.Zones, published)) {
		w.handlers.OnZones(out)
	}
}
