package ticket

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// maxStateBytes limits how much is decompressed from a stored state, in case it is damaged.
const maxStateBytes = 256 << 20

// EncodeState returns s as JSON compressed with gzip. States that result from the same tickets have equal encodings.
func EncodeState(s *State) ([]byte, error) {
	canonical := *s
	canonical.Writers = s.prunedLastWriters()
	var buf bytes.Buffer
	// Most of the state are hashes, which hardly compress, so a higher level would only take more time.
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("ticket: encode state: %w", err)
	}
	if err := json.NewEncoder(w).Encode(canonical); err != nil {
		return nil, fmt.Errorf("ticket: encode state: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("ticket: encode state: %w", err)
	}
	return buf.Bytes(), nil
}

// DecodeState decodes the result of EncodeState. The maps of the returned state are never nil.
func DecodeState(data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("ticket: stored state is damaged: %w; fetch it from another host", err)
	}
	s := EmptyState()
	if err := json.NewDecoder(io.LimitReader(r, maxStateBytes)).Decode(s); err != nil {
		return nil, fmt.Errorf("ticket: stored state is damaged: %w; fetch it from another host", err)
	}
	return s, nil
}

// hasIndex reports whether the object with an index of Writers exists. It always returns false for keys, because
// looking up a key by its name takes linear time.
func (s *State) hasIndex(index string) bool {
	kind, name, _ := strings.Cut(index, "/")
	return Kind(kind) != KindKey && s.Has(Ref{Kind(kind), name})
}
