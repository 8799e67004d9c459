package mesh

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/manifest"
)

// drawWrites changes m in the way that a random number of manifest writes does.
func drawWrites(rt *rapid.T, m *manifest.Manifest) {
	hash := strings.Repeat("a", 64)
	for range rapid.IntRange(0, 80).Draw(rt, "tickets") {
		if len(m.Tickets) == manifest.ChunkSize {
			m.Chunks = append(m.Chunks, manifest.ChunkRef{First: m.Tickets[0].Seq, SHA256: hash})
			m.Tickets = nil
		}
		m.Revision, m.Seq = m.Revision+1, m.Seq+1
		m.Tickets = append(m.Tickets, manifest.TicketRef{Seq: m.Seq, Number: m.Seq, SHA256: hash, Revision: m.Revision})
	}
	for range rapid.IntRange(0, 3).Draw(rt, "slots") {
		m.Slots.Version++
		m.Slots.Owners[rapid.IntRange(0, manifest.SlotCount-1).Draw(rt, "slot")] = fmt.Sprint("g", m.Slots.Version)
	}
	if rapid.Bool().Draw(rt, "witness") {
		m.Witnesses = append(m.Witnesses, fmt.Sprint("w", m.Revision))
	}
	if len(m.Chunks) > 1 && rapid.Bool().Draw(rt, "snapshot") {
		m.Snapshot = manifest.SnapshotRef{Seq: m.Seq, SHA256: hash, Parts: 1}
		m.Chunks = m.Chunks[len(m.Chunks)-1:]
	}
	m.Revision++
}

// Guards against a delta that, applied to its base, does not reproduce the manifest byte for byte, and against a wrong
// result when a delta is applied to another base.
func TestDeltaReproducesManifest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		old := manifest.Initial()
		drawWrites(rt, old)
		next := old.Clone()
		drawWrites(rt, next)
		raw, err := manifest.Encode(next)
		if err != nil {
			rt.Fatal(err)
		}
		d, ok := diff(old, next, raw)
		if !ok {
			rt.Fatal("no delta")
		}
		if got, ok := patch(old, d); !ok || !bytes.Equal(got, raw) {
			rt.Fatalf("ok %v, got %s, want %s", ok, got, raw)
		}
		other := old.Clone()
		other.Slots.Owners[0] += "x"
		d.Owners = nil
		if got, ok := patch(other, d); ok && !bytes.Equal(got, raw) {
			rt.Fatal("patch accepted a wrong result")
		}
	})
}
