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

// Guards against requests that are sent to the wrong service, for example because a route's prefix ends inside a path
// segment or because the index of an older state is used.
func TestMatchTakesLongestPrefixOfWholeSegments(t *testing.T) {
	st := &ticket.State{Routes: map[string]ticket.Route{
		"a": {Name: "a", Prefix: "/a"}, "ab": {Name: "ab", Prefix: "/a/b"}, "dir": {Name: "dir", Prefix: "/d/"},
	}}
	var m Matcher
	for path, want := range map[string]string{
		"/a": "a", "/a/": "a", "/a/c": "a", "/a/b": "ab", "/a/b/c": "ab", "/a/bc": "a", "/ab": "", "/d/e": "dir", "/d": "", "/": "",
	} {
		if r, _ := m.Match(st, path); r.Name != want {
			t.Errorf("path %s matches route %q, want %q", path, r.Name, want)
		}
	}
	if r, _ := m.Match(&ticket.State{Routes: map[string]ticket.Route{"n": {Name: "n", Prefix: "/a"}}}, "/a"); r.Name != "n" {
		t.Error("the matcher used the routes of the previous state")
	}
}

// Guards against unbounded output, a charge below the output that the engine may produce, deadlines later than the
// caller requested, and use of models and adapters by organisations that are not allowed to.
func TestModelRequestsAreBoundedAndAuthorised(t *testing.T) {
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
		model                      string
		requested                  int64
		stream                     bool
		timeout                    time.Duration
		wantMaxOutput              int64
		wantDeadline, wantAnswerBy time.Duration
		wantReason                 refusal.Reason
	}{
		{model: "m", requested: 0, wantMaxOutput: 100, wantDeadline: time.Second, wantAnswerBy: 11 * time.Second},
		{model: "x", requested: 500, wantMaxOutput: 100, wantDeadline: time.Second, wantAnswerBy: 11 * time.Second},
		{model: "m", requested: 10, wantMaxOutput: 10, wantDeadline: time.Second, wantAnswerBy: 2 * time.Second},
		{
			model: "m", requested: 10, timeout: 5 * time.Second,
			wantMaxOutput: 10, wantDeadline: time.Second, wantAnswerBy: 5 * time.Second,
		},
		{
			model: "m", requested: 10, timeout: 500 * time.Millisecond,
			wantMaxOutput: 10, wantDeadline: 500 * time.Millisecond, wantAnswerBy: 500 * time.Millisecond,
		},
		{
			model: "m", requested: 10, stream: true, timeout: 5 * time.Second,
			wantMaxOutput: 10, wantDeadline: 5 * time.Second, wantAnswerBy: 5 * time.Second,
		},
		{
			model: "u", requested: 0,
			wantMaxOutput: 4096, wantDeadline: 30 * time.Second, wantAnswerBy: 30*time.Second + 4096*100*time.Millisecond,
		},
		{model: "p", wantReason: refusal.NotAllowed},
		{model: "y", wantReason: refusal.NotAllowed}, // the adapter has no list, but its model has
		{model: "z", wantReason: refusal.NotAllowed},
		{model: "none", wantReason: refusal.ModelUnknown},
	} {
		ex := &pipeline.Exchange{
			HTTP: &fasthttp.RequestCtx{}, Kind: pipeline.KindModel, Start: start, Organisation: "a", Model: c.model,
			MaxOutput: c.requested, PromptTokens: 7, Stream: c.stream, TimeoutHeader: c.timeout,
		}
		next := pipeline.HandlerFunc(func(context.Context, *pipeline.Exchange) error { return nil })
		err := New(next, Config{View: view}).Serve(context.Background(), ex)
		if r, ok := refusal.As(err); c.wantReason != "" {
			if !ok || r.Reason != c.wantReason {
				t.Errorf("model %s: %v, want a refusal with reason %s", c.model, err, c.wantReason)
			}
			continue
		}
		if err != nil || ex.MaxOutput != c.wantMaxOutput || ex.Charge != 7+c.wantMaxOutput ||
			ex.Deadline.Sub(start) != c.wantDeadline || ex.AnswerBy.Sub(start) != c.wantAnswerBy {
			t.Errorf("%+v: %v, max output %d, charge %d, deadline after %s, whole answer after %s",
				c, err, ex.MaxOutput, ex.Charge, ex.Deadline.Sub(start), ex.AnswerBy.Sub(start))
		}
	}
}
