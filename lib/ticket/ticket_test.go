package ticket

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"cuminhook.org/cuminhook/lib/refusal"
)

const yamlTicket = `
number: 7
organisations:
  - {name: strom, rate: 100, burst: 500}
  - {name: acme, rate: 10, burst: 50, weight: 2}
keys:
  - name: k1
    organisation: acme
    sha256: ` + "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" + `
`

const jsonTicket = `{"keys":[{"sha256":"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa","name":"k1","organisation":"acme"}],
 "organisations":[{"name":"acme","rate":10,"burst":50,"weight":2},{"name":"strom","weight":1,"rate":100,"burst":500}],"number":7}`

func mustParse(t *testing.T, text string) *Ticket {
	t.Helper()
	got, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Guards against a resent ticket being refused as number_reused because it was formatted differently.
func TestHashIndependentOfFormat(t *testing.T) {
	a, b := mustParse(t, yamlTicket), mustParse(t, jsonTicket)
	if a.Hash() != b.Hash() || !reflect.DeepEqual(a, b) {
		t.Fatalf("%s\n%s", a.Encode(), b.Encode())
	}
	c := mustParse(t, strings.Replace(jsonTicket, `"rate":10,`, `"rate":11,`, 1))
	if c.Hash() == a.Hash() {
		t.Fatal("other content, same hash")
	}
}

// Guards against misspelt, repeated or surplus input being ignored, and errors without a line or a remedy.
func TestParseRefuses(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown field":      {"number: 1\nkeyz: []\n", "line 2"},
		"unknown JSON field": {"{\"number\":1,\n\"keyz\":[]}", "line 2"},
		"case":               {"{\"number\":1,\n\"Keys\":[]}", "line 2"},
		"repeated":           {"number: 1\nnumber: 2\n", "[2:1]"},
		"repeated JSON":      {"{\"number\":1,\n\n\"number\":2}", "line 3"},
		"wrong type":         {"number: 1\norganisations:\n- name: a\n  rate: fast\n", "line 4"},
		"alias":              {"number: 1\nkeys: &a\n- *a\n", "line 2"},
		"two documents":      {"number: 1\n---\nnumber: 2\n", "2 documents"},
		"empty":              {"", "0 documents"},
		"no change":          {"number: 1\n", "changes nothing"},
		"deep flow":          {strings.Repeat("[", 250_000), "too deeply"},
		"deep block":         {strings.Repeat("- ", 250_000), "too deeply"},
		"many flow fields":   {"- {" + strings.ReplaceAll(manyFields(), "\n", ",") + "}", "too many fields"},
		"fraction":           {"number: 1\ndelete:\n- {kind: key, name: a}\n- {kind: key, name: 1.0}\n", "line 4: 1.0"},
		"octal":              {"number: 1\ndelete:\n- kind: key\n  name: 010\n", "line 4: 010"},
		"quoted number":      {"number: '1'\ndelete: [{kind: key, name: a}]", "line 1"},
		"number as name":     {"number: 1\ndelete:\n- kind: key\n  name: 10\n", "line 4"},
		"null":               {"number: 1\nkeys:\ndelete: [{kind: key, name: a}]", "line 2: empty"},
		"JSON null":          {"{\"number\":1,\"keys\":\n[null]}", "line 2: empty"},
		"explicit key":       {"number: 1\n? a\n: b\n", "line 2"},
		"many fields":        {"number: 1\n" + manyFields(), "too many fields"},
		"deep JSON":          {`{"a":` + strings.Repeat("[", 250_000), "too deeply"},
		"trailing":           {"{\"number\":1}\n{}", "line 2"},
		"no number":          {"delete: [{kind: key, name: a}]", "number is 0"},
		"twice":              {"number: 1\ndelete: [{kind: key, name: a},{kind: key, name: a}]", "line 2: key/a is touched twice"},
		"bad field":          {"number: 1\norganisations:\n- {name: a, rate: 1, burst: 1}\n- name: b\n  burst: 1\n  rate: -1\n", "line 6: organisation/b: rate"},
		"bad JSON field":     {"{\"number\":1,\n\t\"routes\":[{\"name\":\"a\",\n\"prefix\":\"x\",\"deadline_ms\":1,\"service\":\"s\"}]}", "line 3: route/a: prefix"},
		"absent field":       {"number: 1\nmodels:\n- name: m\n", "line 3: model/m: bytes"},
		"bad kind":           {"number: 1\ndelete: [{kind: cat, name: a}]", "unknown kind"},
	} {
		_, err := Parse([]byte(c.text))
		r, ok := refusal.As(err)
		if !ok || r.Reason != refusal.TicketInvalid || r.Remedy == "" || !strings.Contains(r.Message, c.want) {
			t.Errorf("%s: got %v, want %q", name, err, c.want)
		}
	}
	if _, err := Parse(make([]byte, MaxBytes+1)); !hasReason(err, refusal.TicketTooLarge) {
		t.Errorf("too large: %v", err)
	}
}

func hasReason(err error, want refusal.Reason) bool {
	r, ok := refusal.As(err)
	return ok && r.Reason == want
}

// Guards against a state that differs after it was written to a snapshot and read back.
func TestStateRoundTrip(t *testing.T) {
	s, err := EmptyState().Apply(mustParse(t, yamlTicket))
	if err != nil {
		t.Fatal(err)
	}
	data, err := EncodeState(s)
	if err != nil {
		t.Fatal(err)
	}
	back, err := DecodeState(data)
	if err != nil || !reflect.DeepEqual(s, back) {
		t.Fatalf("%v\n%+v\n%+v", err, s, back)
	}
}

// manyFields returns a mapping that takes seconds to decode if the number of fields isn't limited.
func manyFields() string {
	var b strings.Builder
	for i := range 40_000 {
		fmt.Fprintf(&b, "k%d: 1\n", i)
	}
	return b.String()
}

// Guards against an example ticket in docs/tickets.md that is refused.
func TestExampleInDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/tickets.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := strings.Cut(string(page), "```yaml\n")
	text, _, _ = strings.Cut(text, "```")
	example := mustParse(t, text)
	if len(example.Routes) != 1 {
		t.Fatal("the example lacks kinds of objects")
	}
	example.Delete = nil // its object does not exist in an empty state
	if _, err := EmptyState().Apply(example); err != nil {
		t.Fatal(err)
	}
}
