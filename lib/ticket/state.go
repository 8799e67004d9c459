package ticket

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// maxStateBytes bounds a decoded state against damaged input.
const maxStateBytes = 256 << 20

// EncodeState returns s as compressed JSON. States after the same tickets have equal encodings.
func EncodeState(s *State) ([]byte, error) {
	canonical := *s
	canonical.Writers = s.prunedWriters()
	var buf bytes.Buffer
	// Hashes make up most of the state and hardly shrink, so a higher level costs time only.
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

// DecodeState reverses EncodeState. The maps of the result are never nil.
func DecodeState(data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("ticket: stored state is damaged: %w; fetch it from another host", err)
	}
	s := Empty()
	if err := json.NewDecoder(io.LimitReader(r, maxStateBytes)).Decode(s); err != nil {
		return nil, fmt.Errorf("ticket: stored state is damaged: %w; fetch it from another host", err)
	}
	return s, nil
}

// hasIndex reports whether the object at an index of Writers exists; keys are not looked up.
func (s *State) hasIndex(index string) bool {
	kind, name, _ := strings.Cut(index, "/")
	return Kind(kind) != KindKey && s.Has(Ref{Kind(kind), name})
}
