package quarantine

import (
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// RequestKey identifies a request that comes again: tries, callers' own retries and calls of other requests alike. It consists of
// two hashes, of the caller and of the rest, so that no caller can make a request that is taken for another caller's.
type RequestKey [16]byte

// KeyOfRequest returns the key of a request. The caller is an organisation or, where there are none, a key; uri is the path with the
// query.
func KeyOfRequest(caller string, method, uri, body []byte) (k RequestKey) {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(caller)
	d.Sum(k[:0])
	d.Reset()
	for _, part := range [][]byte{method, uri, body} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0}) // neither method nor path contains this byte
	}
	d.Sum(k[:8])
	return k
}

// String returns the key in hexadecimal.
func (k RequestKey) String() string { return hex.EncodeToString(k[:]) }

// ParseRequestKey parses what String returns.
func ParseRequestKey(s string) (k RequestKey, ok bool) {
	n, err := hex.Decode(k[:], []byte(s[:min(len(s), 2*len(k))]))
	return k, err == nil && n == len(k) && len(s) == 2*len(k)
}
