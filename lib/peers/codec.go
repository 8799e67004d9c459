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

// ErrTooLarge means that a state does not fit into a datagram.
var ErrTooLarge = errors.New("peers: state larger than a datagram")

var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil { // the level is valid
		panic(err)
	}
	return w
}}

// encode returns a state as a datagram.
func encode(s *State) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if out.Len() > maxDatagram {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, out.Len())
	}
	return out.Bytes(), nil
}

// maxState bounds a decoded state in bytes.
const maxState = 1 << 20

// decode reads a datagram.
func decode(data []byte) (*State, error) {
	var s State
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	if err := json.NewDecoder(io.LimitReader(r, maxState)).Decode(&s); err != nil {
		return nil, err
	}
	return &s, nil
}
