package dispatch

import (
	"bytes"
	"unicode/utf8"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

const (
	// minOpenRouteSecretBytes is the length from which on a credential sent to an open route counts as a secret.
	// A meaningless shorter one, such as "x", would be found everywhere. Keys of authenticated callers count
	// whatever their length.
	minOpenRouteSecretBytes = 8
	// maxDecodings is the number of nested encodings that the search decodes.
	maxDecodings = 3
)

// secrets are the credentials that a request carries.
type secrets [][]byte

// secretsOf returns the credentials in the header of a request.
func secretsOf(ex *pipeline.Exchange) secrets {
	var out secrets
	for _, cred := range pipeline.Credentials(&ex.HTTP.Request.Header) {
		if len(cred) >= minOpenRouteSecretBytes || ex.Organisation != "" {
			out = append(out, cred)
		}
	}
	return out
}

// foundIn reports whether b contains a secret, verbatim or in percent or JSON escapes, nested up to maxDecodings deep.
func (s secrets) foundIn(b []byte) bool {
	if len(s) == 0 {
		return false
	}
	for range maxDecodings {
		if s.foundVerbatim(b) {
			return true
		}
		decoded := unescapeJSON(unescapePercent(b))
		if len(decoded) == len(b) {
			return false
		}
		if percent := unescapePercent(b); s.foundVerbatim(percent) {
			return true
		}
		b = decoded
	}
	return s.foundVerbatim(b)
}

// foundVerbatim reports whether b contains a secret without escapes.
func (s secrets) foundVerbatim(b []byte) bool {
	for _, secret := range s {
		if bytes.Contains(b, secret) {
			return true
		}
	}
	return false
}

// checkRequest refuses a request whose path, query, body or idempotency key contains one of its credentials.
func (s secrets) checkRequest(ex *pipeline.Exchange) *refusal.Error {
	where := ""
	switch {
	case s.foundIn(ex.HTTP.Request.Header.RequestURI()) || s.foundIn(ex.HTTP.URI().RequestURI()):
		where = "path or query"
	case s.foundIn([]byte(ex.IdempotencyKey)):
		where = "Idempotency-Key"
	case s.foundIn(ex.HTTP.PostBody()):
		where = "body"
	default:
		return nil
	}
	return &refusal.Error{
		Reason: refusal.BadRequest, Run: refusal.NotRun, Status: fasthttp.StatusBadRequest,
		Message: "the " + where + " holds the caller's key", Remedy: "send the key in the Authorization header only",
	}
}

// unescapePercent decodes percent encoding and leaves invalid escapes as they are.
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

// unescapeJSON decodes the escapes of JSON strings without parsing the JSON around them.
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

// unicodeEscape decodes the escape uXXXX at the start of b, which follows a backslash.
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
