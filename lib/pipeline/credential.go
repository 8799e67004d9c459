package pipeline

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// keyHeaders are the header fields in which callers may send keys. Only Authorization authenticates a request; the
// others are listed so that Credentials finds their keys as well.
var keyHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key"}

// BearerKey returns the bearer key of the Authorization header, or nil if there is none.
func BearerKey(h *fasthttp.RequestHeader) []byte {
	scheme, key, ok := bytes.Cut(h.Peek(fasthttp.HeaderAuthorization), []byte(" "))
	if !ok || !bytes.EqualFold(scheme, []byte("Bearer")) {
		return nil
	}
	return bytes.TrimSpace(key)
}

// Credentials returns the credentials in the request's key headers, without their scheme. They must not be passed on to
// targets, wherever in the request they occur.
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
