package idem

import (
	"testing"

	"cuminhook.org/cuminhook/lib/manifest"
)

// Guards against a new deployment that refuses idempotency keys for 15 min. Before the first slot assignment the
// table has version zero and no owners, so that no claims can have been made.
func TestFirstAssignmentIsReady(t *testing.T) {
	s := NewStore("h1", 1, 10, 1<<20)
	s.SetTable(0, Table{Owners: make([]string, manifest.SlotCount)})
	owners := make([]string, manifest.SlotCount)
	for i := range owners {
		owners[i] = "h1"
	}
	s.SetTable(1, Table{Version: 1, Owners: owners})
	if got := s.checkOwnership(0); got != Proceed {
		t.Errorf("decision %v for a slot that no host owned before", got)
	}
}
