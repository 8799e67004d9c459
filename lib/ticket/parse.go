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

// Parse reads a ticket in YAML or JSON, validates it and brings it into canonical form. Unknown fields,
// repeated fields, anchors and further documents are refused. Errors are refusals that name the line where
// it is known, and the remedy.
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

// Encode returns the canonical encoding of a ticket in canonical form.
func (t *Ticket) Encode() []byte {
	data, err := json.Marshal(t)
	if err != nil {
		panic(err) // the types hold nothing that JSON cannot express
	}
	return data
}

// Hash returns the lower-case hex SHA-256 of the canonical encoding. It does not depend on the formatting
// or on the order in which objects were written.
func (t *Ticket) Hash() string {
	c := t.Canonical()
	return HashBytes(c.Encode())
}

// HashBytes returns the lower-case hex SHA-256 of data.
func HashBytes(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Decode reads a stored ticket body. The body was validated when it was accepted, so that only its form is
// checked here: later versions may validate more strictly and still have to follow the log.
func Decode(body []byte) (*Ticket, error) {
	var t Ticket
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, fmt.Errorf("ticket: stored body is damaged: %w; fetch it from another host", err)
	}
	return &t, nil
}

func decodeJSON(data []byte, t *Ticket) error {
	if err := checkJSONKeys(data); err != nil {
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

// checkJSONKeys refuses what encoding/json tolerates: repeated keys, keys in another case and data behind
// the object. It also finds syntax errors.
func checkJSONKeys(data []byte) error {
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
	if depth == maxDepth {
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

func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte{'\n'})
}

// Canonical returns a copy with defaults filled in and in canonical order.
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

// normalise fills in defaults and sorts everything whose order has no meaning. It changes the object slices
// in place, but none of the slices inside the objects.
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
		m.Organisations = sorted(m.Organisations)
	}
	for i := range t.Adapters {
		t.Adapters[i].Organisations = sorted(t.Adapters[i].Organisations)
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		r.Methods = sorted(r.Methods)
		r.Organisations = sorted(r.Organisations)
	}
	slices.SortStableFunc(t.Organisations, func(a, b Organisation) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Keys, func(a, b Key) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Models, func(a, b Model) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Adapters, func(a, b Adapter) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Delete, func(a, b Ref) int { return strings.Compare(a.String(), b.String()) })
}

func sorted(in []string) []string {
	if len(in) == 0 {
		return nil
	}
	out := slices.Clone(in)
	slices.Sort(out)
	return slices.Compact(out)
}

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
