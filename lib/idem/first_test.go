package idem

import (
	"testing"

	"cuminhook.org/cuminhook/lib/manifest"
)

// Guards against a new deployment refusing idempotency keys for 15 min: the manifest before the first slot
// assignment has version zero and empty owners, which is no gap in knowledge.
func TestFirstAssignmentIsReady(t *testing.T) {
	s := NewStore("h1", 1, 10, 1<<20)
	s.SetTable(0, Table{Owners: make([]string, manifest.SlotCount)})
	owners := make([]string, manifest.SlotCount)
	for i := range owners {
		owners[i] = "h1"
	}
	s.SetTable(1, Table{Version: 1, Owners: owners})
	if got := s.usable(0); got != Proceed {
		t.Errorf("decision %v for a slot that nobody owned before", got)
	}
}
