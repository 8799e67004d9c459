package peers

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrTooLarge means that an encoded state exceeds maxDatagramBytes.
var ErrTooLarge = errors.New("peers: state larger than a datagram")

// flateWriters holds *flate.Writer for reuse.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil { // the level is valid
		panic(err)
	}
	return w
}}

// encode returns a state as a datagram: compressed JSON. It returns ErrTooLarge if the datagram would be too large.
func encode(s *State) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if out.Len() > maxDatagramBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, out.Len())
	}
	return out.Bytes(), nil
}

// maxStateBytes bounds the JSON of a received state after decompression.
const maxStateBytes = 1 << 20

// decode returns the state in a datagram.
func decode(data []byte) (*State, error) {
	var s State
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	if err := json.NewDecoder(io.LimitReader(r, maxStateBytes)).Decode(&s); err != nil {
		return nil, err
	}
	return &s, nil
}
