package dispatch

import (
	"bytes"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

const (
	// shortestSecret keeps a meaningless credential sent to an open route, such as "x", from matching
	// everything. Keys of authenticated callers are looked for whatever their length.
	shortestSecret = 8
	// decodeDepth is the number of encodings that are undone one after the other in the search.
	decodeDepth = 3
)

// secrets are the credentials that a request carries.
type secrets [][]byte

func secretsOf(ex *pipeline.Exchange) secrets {
	var out secrets
	for _, cred := range pipeline.Credentials(&ex.HTTP.Request.Header) {
		if len(cred) >= shortestSecret || ex.Organisation != "" {
			out = append(out, cred)
		}
	}
	return out
}

// in reports whether b holds a secret, as it is or in percent or JSON escapes.
func (s secrets) in(b []byte) bool {
	if len(s) == 0 {
		return false
	}
	for range decodeDepth {
		if s.plain(b) {
			return true
		}
		decoded := unescapeJSON(unescapePercent(b))
		if len(decoded) == len(b) {
			return false
		}
		if percent := unescapePercent(b); s.plain(percent) {
			return true
		}
		b = decoded
	}
	return s.plain(b)
}

func (s secrets) plain(b []byte) bool {
	for _, secret := range s {
		if bytes.Contains(b, secret) {
			return true
		}
	}
	return false
}

// check refuses a request whose path, query, body or idempotency key holds the caller's key.
func (s secrets) check(ex *pipeline.Exchange) *refusal.Error {
	where := ""
	switch {
	case s.in(ex.HTTP.Request.Header.RequestURI()) || s.in(ex.HTTP.URI().RequestURI()):
		where = "path or query"
	case s.in([]byte(ex.IdempotencyKey)):
		where = "Idempotency-Key"
	case s.in(ex.HTTP.PostBody()):
		where = "body"
	default:
		return nil
	}
	return &refusal.Error{
		Reason: refusal.BadRequest, Run: refusal.NotRun, Status: fasthttp.StatusBadRequest,
		Message: "the " + where + " holds the caller's key", Remedy: "send the key in the Authorization header only",
	}
}

// unescapePercent undoes percent encoding; what is not a valid escape stays.
func unescapePercent(b []byte) []byte {
	if bytes.IndexByte(b, '%') < 0 {
		return b
	}
	out := make([]byte, 0, len(b))
	for i := 0; i < len(b); i++ {
		if b[i] == '%' && i+2 < len(b) {
			hi, ok1 := unhex(b[i+1])
			lo, ok2 := unhex(b[i+2])
			if ok1 && ok2 {
				out = append(out, byte(hi<<4|lo))
				i += 2
				continue
			}
		}
		out = append(out, b[i])
	}
	return out
}

// unescapeJSON undoes the escapes of JSON texts without regard to the structure around them.
func unescapeJSON(b []byte) []byte {
	if bytes.IndexByte(b, '\\') < 0 {
		return b
	}
	out := make([]byte, 0, len(b))
	for i := 0; i < len(b); i++ {
		if b[i] != '\\' || i+1 == len(b) {
			out = append(out, b[i])
			continue
		}
		i++
		if r, ok := unicodeEscape(b[i:]); ok {
			out = utf8.AppendRune(out, r)
			i += 4
			continue
		}
		out = append(out, b[i]) // \/ and \\ and \" stand for themselves; control characters are in no key
	}
	return out
}

func unicodeEscape(b []byte) (rune, bool) {
	if len(b) < 5 || b[0] != 'u' {
		return 0, false
	}
	var r rune
	for _, c := range b[1:5] {
		d, ok := unhex(c)
		if !ok {
			return 0, false
		}
		r = r<<4 | d
	}
	return r, true
}

func unhex(c byte) (rune, bool) {
	switch {
	case c >= '0' && c <= '9':
		return rune(c - '0'), true
	case c >= 'a' && c <= 'f':
		return rune(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return rune(c-'A') + 10, true
	}
	return 0, false
}
