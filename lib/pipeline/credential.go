package pipeline

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// keyHeaders are the header fields in which callers send keys. Only Authorization is accepted for
// authentication; the others are known so that a key in them is recognised elsewhere in the request.
var keyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key"}

// BearerKey returns the key of the Authorization header, or nil.
func BearerKey(h *fasthttp.RequestHeader) []byte {
	scheme, key, ok := bytes.Cut(h.Peek(fasthttp.HeaderAuthorization), []byte(" "))
	if !ok || !bytes.EqualFold(scheme, []byte("Bearer")) {
		return nil
	}
	return bytes.TrimSpace(key)
}

// Credentials returns every credential that the request's key headers hold, without their scheme. No
// target may see them.
func Credentials(h *fasthttp.RequestHeader) [][]byte {
	var out [][]byte
	for _, name := range keyHeaders {
		for _, value := range h.PeekAll(name) {
			if _, rest, ok := bytes.Cut(value, []byte(" ")); ok {
				value = rest
			}
			if value = bytes.TrimSpace(value); len(value) > 0 {
				out = append(out, value)
			}
		}
	}
	return out
}
