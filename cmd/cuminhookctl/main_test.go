package main

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/adminapi"
	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// fakeView has a fixed list of members and an empty configuration, so that all state comes from the manifest writer.
type fakeView struct{ members []confview.Member }

func (v *fakeView) Snapshot() *confview.Snapshot {
	return &confview.Snapshot{Manifest: manifest.Initial(), State: ticket.EmptyState(), Placement: &placement.View{}}
}
func (v *fakeView) Status() confview.Status              { return confview.Fresh }
func (v *fakeView) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }
func (v *fakeView) Members() []confview.Member           { return v.members }
func (v *fakeView) Self() string                         { return "adm" }

// session runs command lines against an API on loopback.
type session struct {
	t     *testing.T
	api   string
	store *memkv.Store
	dir   string
}

func newSession(t *testing.T) *session {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	store := memkv.New()
	v := &fakeView{members: []confview.Member{{ID: "gw", Role: "gateway", Revision: 1}}}
	api := adminapi.New(v, manifest.NewWriter(store, nil, manifest.Config{}), adminapi.Config{Token: "secret"})
	go fasthttp.Serve(l, api.Handle)
	t.Setenv("CUMINHOOK_TOKEN", "secret")
	return &session{t, "http://" + l.Addr().String(), store, t.TempDir()}
}

// run executes a command line, fails the test unless it exits with code, and returns standard output and standard
// error.
func (s *session) run(code int, args ...string) (string, string) {
	s.t.Helper()
	var out, errs bytes.Buffer
	a := &app{out: &out, errOut: &errs, in: strings.NewReader("")}
	if got := a.run(append(args, "--api", s.api)); got != code {
		s.t.Fatalf("%v: exit code %d, want %d: %s%s", args, got, code, out.String(), errs.String())
	}
	return out.String(), errs.String()
}

func (s *session) writeFile(text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, ticket.HashBytes([]byte(text))[:8])
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// Guards against exit codes other than the documented ones, which scripts rely on.
func TestExitCodes(t *testing.T) {
	s := newSession(t)
	ticketFile := s.writeFile("number: 2\norganisations: [{name: acme, rate: 1125899906842623, burst: 50}]\n")
	s.run(0, "validate", ticketFile)
	if out, _ := s.run(0, "diff", ticketFile); !strings.Contains(out, "create") {
		t.Fatal(out)
	}
	s.run(8, "get", "organisation", "acme")
	s.run(0, "apply", ticketFile)
	s.run(0, "apply", ticketFile)
	s.run(4, "apply", s.writeFile("number: 1\norganisations: [{name: acme, rate: 1, burst: 50}]\n"))
	s.run(3, "apply", s.writeFile("number: 1\nkeyz: []\n"))
	s.run(2, "apply")
	s.run(2, "aply")
	s.run(2, "get", "cats")
	s.run(2, "members", "-o", "xml")
	s.run(7, "apply", ticketFile, "--wait", "--timeout", "0s")
	for _, format := range []string{"table", "json", "yaml"} {
		if out, _ := s.run(0, "get", "organisation", "acme", "-o", format); !strings.Contains(out, "1125899906842623") {
			t.Fatalf("%s: a large number is altered: %s", format, out)
		}
	}
	s.store.SetFault(memkv.Fault{Unavailable: true})
	t.Setenv("CUMINHOOK_TOKEN", "wrong")
	s.run(9, "apply", ticketFile)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	s.api = "http://" + l.Addr().String()
	s.run(6, "members")
}

// Guards against a created key that is stored in plain text, or whose stored hash differs from the hash by which
// gateways look up callers' keys.
func TestKeysCreateStoresOnlyHash(t *testing.T) {
	s := newSession(t)
	s.run(0, "apply", s.writeFile("number: 1\norganisations: [{name: acme, rate: 5, burst: 50}]\n"))
	out, _ := s.run(0, "keys", "create", "k", "--organisation", "acme", "--number", "2")
	fields := strings.Fields(out)
	key := fields[len(fields)-1]
	entries, err := s.store.List(t.Context(), "")
	if err != nil || !strings.HasPrefix(key, "ch_") {
		t.Fatal(err, out)
	}
	for _, e := range entries {
		if bytes.Contains(e.Value, []byte(key)) {
			t.Fatal("the key is stored in", e.Key)
		}
	}
	if got, _ := s.run(0, "get", "key", "k"); !strings.Contains(got, ticket.HashBytes([]byte(key))) {
		t.Fatal(got)
	}
	s.run(0, "keys", "withdraw", "k", "--number", "3")
	s.run(8, "get", "key", "k")
	s.run(3, "keys", "withdraw", "other", "--number", "4")
}
