package peers

import (
	"encoding/json"
	"errors"
	"fmt"

	"cuminhook.org/cuminhook/lib/deflate"
)

// ErrTooLarge means that an encoded state exceeds maxDatagramBytes.
var ErrTooLarge = errors.New("peers: state larger than a datagram")

// encode returns a state as a datagram: compressed JSON. It returns ErrTooLarge if the datagram would be too large.
func encode(s *State) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	data, err := deflate.Compress(text)
	if err == nil && len(data) > maxDatagramBytes {
		err = fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	return data, err
}

// maxStateBytes bounds the JSON of a received state after decompression.
const maxStateBytes = 1 << 20

// decode returns the state in a datagram.
func decode(data []byte) (*State, error) {
	text, err := deflate.Decompress(data, maxStateBytes)
	if err != nil {
		return nil, err
	}
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	return &s, nil
}
