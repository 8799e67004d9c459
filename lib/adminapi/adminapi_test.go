package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// fakeView is a confview.View of the configuration that a manifest reader has loaded.
type fakeView struct {
	reader  *manifest.Reader
	members []confview.Member
	hosts   []hostlist.Host
}

func (f *fakeView) Snapshot() *confview.Snapshot {
	s := &confview.Snapshot{
		Manifest: manifest.Initial(), State: ticket.EmptyState(), Placement: &placement.View{}, Hosts: f.hosts,
	}
	if l := f.reader.Newest(); l != nil {
		s.Manifest, s.State = l.Manifest, l.State
	}
	return s
}

func (f *fakeView) Status() confview.Status              { return confview.Fresh }
func (f *fakeView) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }
func (f *fakeView) Members() []confview.Member           { return f.members }
func (f *fakeView) Self() string                         { return "adm" }
func (f *fakeView) load(t *testing.T, store *memkv.Store) {
	t.Helper()
	if _, err := f.reader.Load(t.Context(), manifest.StoreSource{Store: store}); err != nil {
		t.Fatal(err)
	}
}

type fakeWriter struct{ err error }

func (f fakeWriter) Accept(context.Context, *ticket.Ticket) (manifest.Receipt, error) {
	return manifest.Receipt{}, f.err
}
func (f fakeWriter) Newest() *manifest.Loaded { return nil }

// call passes one request to s, decodes the response into out and returns the HTTP status.
func call(t *testing.T, s *Server, method, path, body, token string, out any) int {
	t.Helper()
	var c fasthttp.RequestCtx
	c.Request.Header.SetMethod(method)
	c.Request.SetRequestURI(path)
	c.Request.SetBodyString(body)
	if token != "" {
		c.Request.Header.Set("Authorization", "Bearer "+token)
	}
	s.Handle(&c)
	if err := json.Unmarshal(c.Response.Body(), out); err != nil {
		t.Fatalf("%s: %v: %s", path, err, c.Response.Body())
	}
	return c.Response.StatusCode()
}

const ticketBody = "number: 1\norganisations: [{name: acme, rate: 10, burst: 50}]\n"

// Guards against a dry run that writes to the store, reads that don't show an accepted ticket or its number, and a
// ticket status that counts hosts as having a ticket that they lack.
func TestTicketAndReadBack(t *testing.T) {
	store := memkv.New()
	view := &fakeView{reader: manifest.NewReader()}
	s := New(view, manifest.NewWriter(store, nil, manifest.Config{}), Config{})

	var dry DryRun
	if code := call(t, s, "POST", "/v1/tickets?dry_run=1", ticketBody, "", &dry); code != 200 || len(dry.Changes) != 1 || store.Calls(memkv.OpPut) != 0 {
		t.Fatal(code, dry)
	}
	var receipt manifest.Receipt
	if code := call(t, s, "POST", "/v1/tickets", ticketBody, "", &receipt); code != 200 || receipt.Revision != 1 {
		t.Fatal(code, receipt)
	}
	view.members = []confview.Member{{ID: "a", Revision: 1}, {ID: "b"}, {ID: "c", AgeMS: 5000}}
	view.load(t, store)
	var status TicketStatus
	call(t, s, "GET", "/v1/tickets/1", "", "", &status)
	got := map[string]Has{}
	for _, m := range status.Members {
		got[m.ID] = m.Has
	}
	if !status.Accepted || status.Everywhere || got["a"] != HasYes || got["b"] != HasNo || got["c"] != HasUnknown ||
		got["adm"] != HasYes {
		t.Fatalf("%+v", status)
	}
	view.members = view.members[:1]
	call(t, s, "GET", "/v1/tickets/1", "", "", &status)
	if !status.Everywhere {
		t.Fatalf("%+v", status)
	}
	var object Object
	if code := call(t, s, "GET", "/v1/organisations/acme", "", "", &object); code != 200 || object.Ticket != 1 {
		t.Fatal(code, object)
	}
	var state State
	if call(t, s, "GET", "/v1/state", "", "", &state); state.Revision != 1 || len(state.Objects) != 1 {
		t.Fatalf("%+v", state)
	}
	var body RefusalBody
	if code := call(t, s, "GET", "/v1/models/x", "", "", &body); code != 404 || body.Remedy == "" {
		t.Fatal(code, body)
	}
	if code := call(t, s, "POST", "/v1/tickets", strings.Replace(ticketBody, "50", "60", 1), "", &body); code != 409 ||
		body.Reason != "number_reused" {
		t.Fatal(code, body)
	}
}

// Guards against calls without the operators' token being accepted, and against an unexpected error being reported as
// not_run although the ticket may have been written.
func TestTokenAndInternalError(t *testing.T) {
	s := New(&fakeView{reader: manifest.NewReader()}, fakeWriter{errors.New("broken")}, Config{Token: "secret"})
	var p RefusalBody
	for _, token := range []string{"", "secre", "secrets"} {
		if code := call(t, s, "POST", "/v1/tickets", ticketBody, token, &p); code != 401 {
			t.Fatal(token, code)
		}
	}
	if code := call(t, s, "POST", "/v1/tickets", ticketBody, "secret", &p); code != 500 || p.Run != "unknown" {
		t.Fatal(code, p)
	}
}

// Guards against a ticket being shown as in force everywhere while no state of a listed gateway was ever received.
func TestListedHostCountsAsSilent(t *testing.T) {
	view := &fakeView{
		reader:  manifest.NewReader(),
		members: []confview.Member{{ID: "entry-1", Role: "gateway", Revision: 9}},
		hosts: []hostlist.Host{
			{ID: "entry-1", Role: hostlist.RoleEntry},
			{ID: "entry-2", Role: hostlist.RoleEntry},
			{ID: "entry-3", Role: hostlist.RoleEntry, Leaving: true},
			{ID: "engine-1", Role: hostlist.RoleEngine},
		},
	}
	var silent []string
	for _, m := range New(view, fakeWriter{}, Config{}).members(1) {
		if m.Has == HasUnknown {
			silent = append(silent, m.ID)
		}
	}
	if len(silent) != 1 || silent[0] != "entry-2" {
		t.Errorf("silent: %v, want entry-2", silent)
	}
}
