package ticket

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"cuminhook.org/cuminhook/lib/refusal"
)

// Parse reads a ticket in YAML or JSON, validates it and brings it into canonical form. It refuses unknown fields,
// repeated fields, anchors and more than one document. Errors are refusals with the reason ticket_invalid or
// ticket_too_large; they name the remedy and, where it is known, the line.
func Parse(data []byte) (*Ticket, error) {
	if len(data) > MaxBytes {
		return nil, tooLarge(len(data))
	}
	text := data
	if trimmed := bytes.TrimSpace(data); len(trimmed) == 0 || trimmed[0] != '{' {
		var err error
		if text, err = yamlToJSON(data); err != nil {
			return nil, err
		}
	}
	var t Ticket
	if err := decodeJSON(text, &t); err != nil {
		return nil, err
	}
	t.normalise()
	if err := t.Validate(); err != nil {
		return nil, withLine(text, err)
	}
	if n := len(t.Encode()); n > MaxBytes {
		return nil, tooLarge(n)
	}
	return &t, nil
}

// Encode returns the JSON encoding of t. It is canonical only if t is in canonical form.
func (t *Ticket) Encode() []byte {
	data, err := json.Marshal(t)
	if err != nil {
		panic(err) // the types hold nothing that JSON cannot express
	}
	return data
}

// Hash returns the SHA-256 of the canonical encoding of t in lower-case hex. It doesn't depend on the formatting of
// the ticket or on the order of its objects.
func (t *Ticket) Hash() string {
	c := t.Canonical()
	return HashBytes(c.Encode())
}

// HashBytes returns the SHA-256 of data in lower-case hex.
func HashBytes(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Decode decodes a stored ticket body. It doesn't validate the ticket, which was done when the ticket was accepted:
// a later version with stricter rules must still be able to replay the log.
func Decode(body []byte) (*Ticket, error) {
	var t Ticket
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, fmt.Errorf("ticket: stored body is damaged: %w; fetch it from another host", err)
	}
	return &t, nil
}

// decodeJSON decodes data into t. Errors are refusals that name the line.
func decodeJSON(data []byte, t *Ticket) error {
	if err := checkStrictJSON(data); err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(t); err != nil {
		offset := dec.InputOffset()
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			offset = typeErr.Offset
		} else if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
			field := regexp.MustCompile(regexp.QuoteMeta(name) + `\s*:`).FindIndex(data)
			if field != nil {
				offset = int64(field[0])
			}
		}
		return invalid("line %d: %v; remove unknown fields and correct wrong types", lineAt(data, offset), err)
	}
	return nil
}

// checkStrictJSON refuses what encoding/json tolerates: repeated keys, keys in another case, null and data after the
// object. It also refuses syntax errors and values that are nested too deeply.
func checkStrictJSON(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := checkJSONValue(dec, data, 0); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return invalid("line %d: data after the ticket; write exactly one ticket into the file",
			lineAt(data, dec.InputOffset()))
	}
	return nil
}

func checkJSONValue(dec *json.Decoder, data []byte, depth int) error {
	tok, err := dec.Token()
	if err != nil {
		return invalid("line %d: %v; correct the JSON", lineAt(data, dec.InputOffset()), err)
	}
	delim, ok := tok.(json.Delim)
	if tok == nil {
		return invalid("line %d: empty value; remove the field or give it a value", lineAt(data, dec.InputOffset()))
	}
	if !ok {
		return nil
	}
	if depth == maxNestingDepth {
		return invalid("line %d: nested too deeply; see the ticket format", lineAt(data, dec.InputOffset()))
	}
	seen := map[string]bool{}
	for dec.More() {
		if delim == '{' {
			if err := checkJSONKey(dec, data, seen); err != nil {
				return err
			}
		}
		if err := checkJSONValue(dec, data, depth+1); err != nil {
			return err
		}
	}
	if _, err := dec.Token(); err != nil {
		return invalid("line %d: %v; correct the JSON", lineAt(data, dec.InputOffset()), err)
	}
	return nil
}

func checkJSONKey(dec *json.Decoder, data []byte, seen map[string]bool) error {
	tok, err := dec.Token()
	if err != nil {
		return invalid("line %d: %v; correct the JSON", lineAt(data, dec.InputOffset()), err)
	}
	key, _ := tok.(string)
	line := lineAt(data, dec.InputOffset())
	if seen[key] {
		return invalid("line %d: field %q is repeated; keep one", line, key)
	}
	seen[key] = true
	for _, c := range key {
		if (c < 'a' || c > 'z') && c != '_' && (c < '0' || c > '9') {
			return invalid("line %d: unknown field %q; field names are in lower case", line, key)
		}
	}
	return nil
}

// lineAt returns the line number, from 1, of an offset in bytes.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte{'\n'})
}

// Canonical returns a copy of t in canonical form: with defaults filled in and lists sorted.
func (t *Ticket) Canonical() *Ticket {
	c := *t
	c.Organisations = slices.Clone(t.Organisations)
	c.Keys = slices.Clone(t.Keys)
	c.Models = slices.Clone(t.Models)
	c.Adapters = slices.Clone(t.Adapters)
	c.Routes = slices.Clone(t.Routes)
	c.Delete = slices.Clone(t.Delete)
	c.normalise()
	return &c
}

// normalise brings t into canonical form: it fills in defaults and sorts all lists, whose order has no meaning. It
// changes the slices of objects in place and replaces the slices inside the objects.
func (t *Ticket) normalise() {
	for i := range t.Organisations {
		if o := &t.Organisations[i]; o.Weight == 0 {
			o.Weight = 1
		}
	}
	for i := range t.Models {
		m := &t.Models[i]
		if m.MinCopies == 0 {
			m.MinCopies = 1
		}
		m.Organisations = sortedUnique(m.Organisations)
	}
	for i := range t.Adapters {
		t.Adapters[i].Organisations = sortedUnique(t.Adapters[i].Organisations)
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		r.Methods = sortedUnique(r.Methods)
		r.Organisations = sortedUnique(r.Organisations)
	}
	slices.SortStableFunc(t.Organisations, func(a, b Organisation) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Keys, func(a, b Key) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Models, func(a, b Model) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Adapters, func(a, b Adapter) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Delete, func(a, b Ref) int { return strings.Compare(a.String(), b.String()) })
}

// sortedUnique returns a sorted copy without duplicates, or nil if in is empty.
func sortedUnique(in []string) []string {
	if len(in) == 0 {
		return nil
	}
	out := slices.Clone(in)
	slices.Sort(out)
	return slices.Compact(out)
}

// invalid returns a ticket_invalid refusal. The part of the formatted text after the last "; " becomes the remedy.
func invalid(format string, args ...any) *refusal.Error {
	message, remedy := fmt.Sprintf(format, args...), "correct the ticket"
	if i := strings.LastIndex(message, "; "); i >= 0 {
		message, remedy = message[:i], message[i+2:]
	}
	return &refusal.Error{
		Reason: refusal.TicketInvalid, Run: refusal.NotRun, Status: 422,
		Message: message, Remedy: remedy,
	}
}

func tooLarge(n int) *refusal.Error {
	return &refusal.Error{
		Reason: refusal.TicketTooLarge, Run: refusal.NotRun, Status: 413,
		Message: fmt.Sprintf("the ticket has %d bytes, the limit is %d", n, MaxBytes),
		Remedy:  "split it into several tickets",
	}
}
