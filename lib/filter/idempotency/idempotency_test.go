package idempotency

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/idem"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/peer"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

// soleOwnerView is a configuration view in which this host owns all slots.
type soleOwnerView struct{ snap confview.Snapshot }

func (v *soleOwnerView) Snapshot() *confview.Snapshot         { return &v.snap }
func (v *soleOwnerView) Status() confview.Status              { return confview.Fresh }
func (v *soleOwnerView) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }
func (v *soleOwnerView) Members() []confview.Member           { return nil }
func (v *soleOwnerView) Self() string                         { return "a" }

type noPeers struct{}

func (noPeers) Call(context.Context, string, string, any, any) error { return peer.ErrUnreachable }

// countingService counts its runs and returns err; sendBooking finishes each exchange with out.
type countingService struct {
	runs int
	out  pipeline.Outcome
	err  error
}

func (s *countingService) Serve(_ context.Context, ex *pipeline.Exchange) error {
	s.runs++
	ex.HTTP.Response.Header.SetContentType("application/json")
	return s.err
}

// sendBooking passes a request through the filter and finishes its exchange, as the server does.
func sendBooking(f *Filter, s *countingService, key, body string, idempotent bool) (*fasthttp.RequestCtx, error) {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod("POST")
	ctx.Request.SetRequestURI("/book?seat=1")
	ctx.Request.SetBodyString(body)
	ex := &pipeline.Exchange{
		HTTP: ctx, Organisation: "x", IdempotencyKey: key, Idempotent: idempotent, Deadline: time.Now().Add(5 * time.Second),
	}
	err := f.Serve(context.Background(), ex)
	ex.Finish(s.out)
	return ctx, err
}

func reason(err error) refusal.Reason {
	r, _ := refusal.As(err)
	if r == nil {
		return ""
	}
	return r.Reason
}

// Guards against a second run of a request whose key is repeated, against the loss of its stored response, and against
// the refusal of a repeat although the first request is known not to have run.
func TestOutcomeOfFirstRequestDecidesRepeat(t *testing.T) {
	done := pipeline.Outcome{Status: 201, Run: refusal.RunUnknown, Complete: true, Ran: true, Body: []byte(`{"ok":1}`)}
	for name, c := range map[string]struct {
		first      pipeline.Outcome
		err        error
		body       string // of the second request
		idempotent bool
		key        string
		runs       int
		want       refusal.Reason
		replayed   bool
	}{
		"answered":      {first: done, key: "k", body: "b", runs: 1, replayed: true},
		"other content": {first: done, key: "k", body: "c", runs: 1, want: refusal.IdempotencyKeyReused},
		"not run":       {err: errors.New("dial"), key: "k", body: "b", runs: 2},
		"outcome lost": {
			first: pipeline.Outcome{Ran: true}, err: errors.New("cut"),
			key: "k", body: "b", runs: 1, want: refusal.OutcomeUnknown,
		},
		"large response": {
			first: pipeline.Outcome{Ran: true, Complete: true, Body: make([]byte, idem.MaxBodyBytes+1)},
			key:   "k", body: "b", runs: 1, want: refusal.OutcomeUnknown,
		},
		"idempotent":  {first: done, key: "k", body: "b", idempotent: true, runs: 2},
		"without key": {first: done, body: "b", runs: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := &soleOwnerView{confview.Snapshot{Manifest: &manifest.Manifest{}}}
				owners := make([]string, manifest.SlotCount)
				for i := range owners {
					owners[i] = "a"
				}
				v.snap.Manifest.Slots = manifest.SlotTable{}.WithOwners(owners)
				m, err := idem.New(idem.Config{View: v, Caller: noPeers{}, AssumeEmpty: true})
				if err != nil {
					t.Fatal(err)
				}
				defer m.Close()
				s := &countingService{out: c.first, err: c.err}
				f := New(s, Config{Claims: m})
				if _, err := sendBooking(f, s, c.key, "b", c.idempotent); reason(err) != "" {
					t.Fatalf("first request refused: %v", err)
				}
				ctx, err := sendBooking(f, s, c.key, c.body, c.idempotent)
				if s.runs != c.runs || reason(err) != c.want {
					t.Errorf("%d runs, error %v; want %d runs, reason %q", s.runs, err, c.runs, c.want)
				}
				r := &ctx.Response
				if c.replayed && (r.StatusCode() != 201 || string(r.Body()) != `{"ok":1}` ||
					string(r.Header.ContentType()) != "application/json") {
					t.Errorf("the replayed response differs from the first: %v", r)
				}
			})
		})
	}
}
