package datapath

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/engine/httpengine"
	"cuminhook.org/cuminhook/lib/gateway"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/service"
	"cuminhook.org/cuminhook/lib/service/httpservice"
	engines "cuminhook.org/cuminhook/lib/standin/engine"
	services "cuminhook.org/cuminhook/lib/standin/service"
	"cuminhook.org/cuminhook/lib/ticket"
)

// recordOutcome returns a filter for the position of admission that stores the outcome of the latest exchange.
func recordOutcome(into *atomic.Pointer[pipeline.Outcome]) gateway.Wrap {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, ex *pipeline.Exchange) error {
			ex.OnFinish(func(out pipeline.Outcome) { into.Store(&out) })
			return next.Serve(ctx, ex)
		})
	}
}

// Guards against a gateway that abandons a call that must not be repeated because its caller has disconnected, which
// leaves the outcome unknown. Control: the same call on an idempotent route is abandoned.
func TestNonIdempotentCallRunsOnWithoutItsCaller(t *testing.T) {
	for path, want := range map[string]refusal.Reason{"/siren/sound": "", "/siren/state": refusal.CallerGone} {
		var out atomic.Pointer[pipeline.Outcome]
		runInBubble(t, engines.Config{}, func(c *gateway.Config) { c.Admission = recordOutcome(&out) }, func(env *testEnv) {
			for _, s := range env.services {
				s.SetFaults(services.Faults{Delay: 3 * time.Second})
			}
			c, err := env.ln["gw"].Dial()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: gw\r\n%s\r\nContent-Length: 0\r\n\r\n", path, bearer)
			time.Sleep(time.Second) // virtual
			_ = c.Close()
			time.Sleep(5 * time.Second)
			if got := out.Load(); got == nil || got.Reason != want || (got.Status == 200) != (want == "") {
				t.Errorf("%s: outcome %+v", path, got)
			}
		})
	}
}

// Guards against a request that runs although its key was withdrawn, or the host became isolated, while it waited for
// admission. Control: without such a change it runs.
func TestKeyIsCheckedAfterAdmission(t *testing.T) {
	wait := func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, ex *pipeline.Exchange) error {
			time.Sleep(3 * time.Second) // virtual
			return next.Serve(ctx, ex)
		})
	}
	for reason, change := range map[string]func(*testEnv){
		"": func(*testEnv) {},
		"key_unknown": func(env *testEnv) {
			env.view.Set(testSnapshot(&ticket.State{Routes: testState().Routes, Models: testState().Models}))
		},
		"config_stale": func(env *testEnv) { env.view.SetStatus(confview.Isolated, false) },
	} {
		for path, body := range map[string]string{"/siren/sound": "{}", "/v1/chat/completions": chat("a", false)} {
			runInBubble(t, engines.Config{}, func(c *gateway.Config) { c.Admission = wait }, func(env *testEnv) {
				time.AfterFunc(time.Second, func() { change(env) })
				a := env.call("POST", path, body, bearer)
				if e := a.refusal().Error; e.Reason != reason || (e.Run == "not_run") != (reason != "") {
					t.Errorf("%q, %s: %+v", reason, path, a)
				}
				if sent, _ := env.sentAndLogged(); (sent == "") != (reason != "") {
					t.Errorf("%q, %s: a target received %q", reason, path, sent)
				}
			})
		}
	}
}

// Guards against a non-streamed answer that reaches a caller whose key became invalid just before the answer arrived,
// as when a paused gateway resumes. Control: without such a change the caller gets the answer.
func TestWholeAnswerIsWithheldFromInvalidKey(t *testing.T) {
	for reason, change := range map[string]func(*testEnv){
		"":             func(*testEnv) {},
		"config_stale": func(env *testEnv) { env.view.SetStatus(confview.Isolated, false) },
	} {
		runInBubble(t, engines.Config{DecodeTokensPerSecond: 50}, nil, func(env *testEnv) {
			start := time.Now()
			env.call("POST", "/v1/chat/completions", chat("a", false), bearer)
			took := time.Since(start)
			// After the last periodic check of open requests.
			time.AfterFunc(took-time.Millisecond, func() { change(env) })
			a := env.call("POST", "/v1/chat/completions", chat("a", false), bearer)
			if e := a.refusal().Error; e.Reason != reason || reason != "" && e.Run != "unknown" {
				t.Errorf("%q: %+v", reason, a)
			}
		})
	}
}

// Guards against wrong refunds of tokens: admission must receive the usage that the engine reported, and -1, not 0, if
// the usage is unknown.
func TestOutcomeReportsUsage(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for _, broken := range []bool{false, true} {
			var out atomic.Pointer[pipeline.Outcome]
			change := func(c *gateway.Config) { c.Admission, c.NoResume = recordOutcome(&out), true }
			runInBubble(t, engines.Config{DecodeTokensPerSecond: 50}, change, func(env *testEnv) {
				f := engines.Faults{Errors: 9}
				if stream {
					f = engines.Faults{DieAfter: 9, DieAtEvent: 5}
				}
				for _, e := range env.engines {
					if broken {
						e.SetFaults(f)
					}
				}
				env.call("POST", "/v1/chat/completions", chat("a", stream), bearer)
				time.Sleep(time.Second)
				got := out.Load()
				want := int64(12)
				if broken {
					want = -1
				}
				if got == nil || got.OutputTokens != want || got.Complete == broken || !got.Ran || (got.Reason != "") != broken {
					t.Errorf("stream %t, broken %t: %+v", stream, broken, got)
				}
			})
		}
	}
}

// Guards against the reuse of a connection on which the answer to an earlier request may still arrive. Control: the
// connection of a proper answer is reused.
func TestConnectionsOfImproperAnswersAreNotReused(t *testing.T) {
	runInBubble(t, engines.Config{}, nil, func(env *testEnv) {
		dials := 0
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			dials++
			return env.dial(ctx, addr)
		}
		model := httpengine.New(httpengine.Config{Dial: dial})
		plain := httpservice.New(dial)
		n := 0
		viaEngine := func() {
			n++
			_, _ = model.Do(context.Background(), "e0", &engine.Request{
				ID: fmt.Sprint(n), Path: "/v1/chat/completions", Body: []byte(chat("a", false)), Idempotent: true,
			})
		}
		viaService := func(idempotent bool) func() {
			return func() {
				n++
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, _ = plain.Do(ctx, "s0", &service.Request{ID: fmt.Sprint(n), Method: "GET", Path: "/", Idempotent: idempotent})
			}
		}
		for name, c := range map[string]struct {
			call   func()
			ef     engines.Faults
			sf     services.Faults
			reused bool
		}{
			"engine, proper":           {call: viaEngine, reused: true},
			"engine, crossed":          {call: viaEngine, ef: engines.Faults{CrossAnswers: 1}},
			"engine, lost":             {call: viaEngine, ef: engines.Faults{LoseAnswers: 1}},
			"engine, silent":           {call: viaEngine, ef: engines.Faults{SilentCalls: 1}},
			"service, proper":          {call: viaService(true), reused: true},
			"service, crossed":         {call: viaService(true), sf: services.Faults{CrossAnswers: 1}},
			"service, cut":             {call: viaService(true), sf: services.Faults{CutAnswers: 1}},
			"service, silent":          {call: viaService(true), sf: services.Faults{SilentCalls: 1}},
			"service, slow":            {call: viaService(true), sf: services.Faults{Delay: 2 * time.Second}},
			"service, not idempotent":  {call: viaService(false)},
			"service, not run, proper": {call: viaService(true), sf: services.Faults{NotRun: 1}, reused: true},
		} {
			model.Close()
			plain.Close()
			env.engines[0].SetFaults(c.ef)
			env.services[0].SetFaults(c.sf)
			c.call()
			env.services[0].SetFaults(services.Faults{})
			before := dials
			c.call()
			if reused := dials == before; reused != c.reused {
				t.Errorf("%s: reused %t", name, reused)
			}
		}
		model.Close()
		plain.Close()
	})
}

// Guards against a new connection for each stream. Control: the connection of a broken stream is not reused.
func TestStreamsReuseConnections(t *testing.T) {
	for _, broken := range []bool{false, true} {
		var dials atomic.Int64
		var env *testEnv
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			dials.Add(1)
			return env.dial(ctx, addr)
		}
		change := func(c *gateway.Config) { c.Engine, c.NoResume = httpengine.New(httpengine.Config{Dial: dial}), true }
		runInBubble(t, engines.Config{DecodeTokensPerSecond: 50}, change, func(started *testEnv) {
			env = started
			snap := testSnapshot(testState())
			snap.Placement.Targets = snap.Placement.Targets[:1]
			env.view.Set(snap)
			if broken {
				env.engines[0].SetFaults(engines.Faults{DieAfter: 9, DieAtEvent: 3})
			}
			for range 5 {
				env.call("POST", "/v1/chat/completions", chat("a", true), bearer)
				time.Sleep(time.Second) // virtual
			}
			want := int64(1)
			if broken {
				want = 10 // each stream has its own connection and another for its cancellation
			}
			if n := dials.Load(); n != want {
				t.Errorf("broken %t: %d connections for 5 streams, want %d", broken, n, want)
			}
		})
	}
}
