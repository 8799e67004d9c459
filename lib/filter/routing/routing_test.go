package routing

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/confview/viewtest"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
)

// Guards against a path that leads to the wrong service, such as one whose prefix ends inside a segment.
func TestMatchTakesLongestPrefixOfWholeSegments(t *testing.T) {
	st := &ticket.State{Routes: map[string]ticket.Route{
		"a": {Name: "a", Prefix: "/a"}, "ab": {Name: "ab", Prefix: "/a/b"}, "dir": {Name: "dir", Prefix: "/d/"},
	}}
	var m Matcher
	for path, want := range map[string]string{
		"/a": "a", "/a/": "a", "/a/c": "a", "/a/b": "ab", "/a/b/c": "ab", "/a/bc": "a", "/ab": "", "/d/e": "dir", "/d": "", "/": "",
	} {
		if r, _ := m.Match(st, path); r.Name != want {
			t.Errorf("%s leads to %q, want %q", path, r.Name, want)
		}
	}
	if r, _ := m.Match(&ticket.State{Routes: map[string]ticket.Route{"n": {Name: "n", Prefix: "/a"}}}, "/a"); r.Name != "n" {
		t.Error("the routes of an old state were used")
	}
}

// Guards against output without bound, a charge below what the engine may do, and deadlines beyond those
// that the caller asked for.
func TestModelLimits(t *testing.T) {
	view := viewtest.New(&confview.Snapshot{State: &ticket.State{
		Models: map[string]ticket.Model{
			"m": {Name: "m", MaxOutput: 100, DeadlineMS: 1000}, "u": {Name: "u"}, "p": {Name: "p", MaxOutput: 9, Organisations: []string{"b"}},
		},
		Adapters: map[string]ticket.Adapter{
			"x": {Name: "x", Model: "m"}, "y": {Name: "y", Model: "p"}, "z": {Name: "z", Model: "m", Organisations: []string{"b"}},
		},
	}})
	start := time.Now()
	for _, c := range []struct {
		model       string
		asked       int64
		stream      bool
		timeout     time.Duration
		max         int64
		first, last time.Duration
		reason      refusal.Reason
	}{
		{model: "m", asked: 0, max: 100, first: time.Second, last: 11 * time.Second},
		{model: "x", asked: 500, max: 100, first: time.Second, last: 11 * time.Second},
		{model: "m", asked: 10, max: 10, first: time.Second, last: 2 * time.Second},
		{model: "m", asked: 10, timeout: 5 * time.Second, max: 10, first: time.Second, last: 5 * time.Second},
		{model: "m", asked: 10, timeout: 500 * time.Millisecond, max: 10, first: 500 * time.Millisecond, last: 500 * time.Millisecond},
		{model: "m", asked: 10, stream: true, timeout: 5 * time.Second, max: 10, first: 5 * time.Second, last: 5 * time.Second},
		{model: "u", asked: 0, max: 4096, first: 30 * time.Second, last: 30*time.Second + 4096*100*time.Millisecond},
		{model: "p", reason: refusal.NotAllowed},
		{model: "y", reason: refusal.NotAllowed}, // an adapter does not open its model to others
		{model: "z", reason: refusal.NotAllowed},
		{model: "none", reason: refusal.ModelUnknown},
	} {
		ex := &pipeline.Exchange{
			HTTP: &fasthttp.RequestCtx{}, Kind: pipeline.KindModel, Start: start, Organisation: "a", Model: c.model,
			MaxOutput: c.asked, PromptTokens: 7, Stream: c.stream, TimeoutHeader: c.timeout,
		}
		next := pipeline.HandlerFunc(func(context.Context, *pipeline.Exchange) error { return nil })
		err := New(next, Config{View: view}).Serve(context.Background(), ex)
		if r, ok := refusal.As(err); c.reason != "" {
			if !ok || r.Reason != c.reason {
				t.Errorf("%s: %v", c.model, err)
			}
			continue
		}
		if err != nil || ex.MaxOutput != c.max || ex.Charge != 7+c.max || ex.Deadline.Sub(start) != c.first || ex.AnswerBy.Sub(start) != c.last {
			t.Errorf("%+v: %v, max %d, charge %d, %s, %s", c, err, ex.MaxOutput, ex.Charge, ex.Deadline.Sub(start), ex.AnswerBy.Sub(start))
		}
	}
}
