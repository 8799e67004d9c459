package manifest

import (
	"encoding/json"
	"fmt"
	"slices"

	"cuminhook.org/cuminhook/lib/ticket"
)

// ChunkSize is the maximum number of ticket references in a manifest and in a chunk.
const ChunkSize = 64

// Initial returns the manifest of a deployment in which nothing has been written yet.
func Initial() *Manifest {
	return &Manifest{Slots: SlotTable{Owners: make([]string, SlotCount)}}
}

// Clone returns a copy. Of the lists it shares only Slots.Since with m, which WithOwners replaces as a whole.
func (m *Manifest) Clone() *Manifest {
	c := *m
	c.Tickets = slices.Clone(m.Tickets)
	c.Chunks = slices.Clone(m.Chunks)
	c.Slots.Owners = slices.Clone(m.Slots.Owners)
	c.Witnesses = slices.Clone(m.Witnesses)
	return &c
}

// Encode validates m and returns its stored form.
func Encode(m *Manifest) ([]byte, error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	return json.Marshal(m)
}

// Decode returns the manifest with the given stored form after validating it.
func Decode(data []byte) (*Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("manifest: cannot decode the stored form: %w; read it from another source", err)
	}
	if err := m.validate(); err != nil {
		return nil, err
	}
	return &m, nil
}

func (m *Manifest) validate() error {
	if m.Revision < 0 || m.Snapshot.Seq < 0 || m.Snapshot.Seq > m.Seq {
		return fmt.Errorf("manifest: revision %d, snapshot %d and sequence number %d do not match; read it from another source",
			m.Revision, m.Snapshot.Seq, m.Seq)
	}
	if len(m.Tickets) > ChunkSize {
		return fmt.Errorf("manifest: %d ticket references, the maximum is %d; move them to a chunk", len(m.Tickets), ChunkSize)
	}
	if len(m.Slots.Owners) != SlotCount {
		return fmt.Errorf("manifest: %d slots instead of %d; run the same version of the program on all hosts",
			len(m.Slots.Owners), SlotCount)
	}
	for i, t := range m.Tickets {
		if want := m.Seq - int64(len(m.Tickets)-1-i); t.Seq != want || len(t.SHA256) != 64 {
			return fmt.Errorf("manifest: ticket reference %d: bad hash, or sequence number %d, not %d; read it from another source",
				i, t.Seq, want)
		}
	}
	return m.validateChunks()
}

// validateChunks checks that snapshot, chunks and ticket references cover all sequence numbers up to m.Seq.
func (m *Manifest) validateChunks() error {
	next := m.Seq - int64(len(m.Tickets)) + 1 // first sequence number after the chunks
	if len(m.Chunks) == 0 {
		if next > m.Snapshot.Seq+1 {
			return fmt.Errorf("manifest: no references for sequence numbers %d to %d; read it from another source",
				m.Snapshot.Seq+1, next-1)
		}
		return nil
	}
	if first := m.Chunks[0].First; first > m.Snapshot.Seq+1 || first < 1 {
		return fmt.Errorf("manifest: first chunk starts at %d, snapshot ends at %d; read it from another source",
			first, m.Snapshot.Seq)
	}
	for i, c := range m.Chunks {
		end := next
		if i+1 < len(m.Chunks) {
			end = m.Chunks[i+1].First
		}
		if end <= c.First || len(c.SHA256) != 64 {
			return fmt.Errorf("manifest: chunk at %d is empty, out of order or has a bad hash; read it from another source",
				c.First)
		}
	}
	return nil
}

// BodyKey returns the key of the body of the ticket with the given number and hash.
func BodyKey(number int64, sha256 string) string { return fmt.Sprintf("ticket/%d-%s", number, sha256) }

// ChunkKey returns the key of a chunk.
func ChunkKey(c ChunkRef) string { return fmt.Sprintf("chunk/%d-%s", c.First, c.SHA256) }

// SnapshotKey returns the key of a part of a snapshot; parts count from 0.
func SnapshotKey(s SnapshotRef, part int) string {
	return fmt.Sprintf("snapshot/%d-%s/%d", s.Seq, s.SHA256, part)
}

func encodeChunk(refs []TicketRef) ([]byte, ChunkRef, error) {
	data, err := json.Marshal(refs)
	if err != nil {
		return nil, ChunkRef{}, fmt.Errorf("manifest: encode chunk: %w", err)
	}
	return data, ChunkRef{First: refs[0].Seq, SHA256: ticket.HashBytes(data)}, nil
}

func decodeChunk(c ChunkRef, data []byte) ([]TicketRef, error) {
	if err := checkHash(ChunkKey(c), c.SHA256, data); err != nil {
		return nil, err
	}
	var refs []TicketRef
	if err := json.Unmarshal(data, &refs); err != nil {
		return nil, fmt.Errorf("manifest: cannot decode the chunk at %d: %w; read it from another source", c.First, err)
	}
	return refs, nil
}

func checkHash(key, want string, data []byte) error {
	if ticket.HashBytes(data) != want {
		return fmt.Errorf("manifest: %s does not have the hash in its key; read it from another source", key)
	}
	return nil
}
