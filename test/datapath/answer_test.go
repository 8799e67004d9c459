package datapath

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/gateway"
	"cuminhook.org/cuminhook/lib/prompt"
	engines "cuminhook.org/cuminhook/lib/standin/engine"
	services "cuminhook.org/cuminhook/lib/standin/service"
)

// isOwnAnswer reports whether a is the complete answer to the caller's own prompt.
func isOwnAnswer(t testing.TB, a answer, text string, stream bool) bool {
	if stream {
		events, failed := streamEvents(a.body)
		return !failed && matchingEvents(events, expectedEvents(t, text)) == 14
	}
	p, err := prompt.ParseChat(fmt.Appendf(nil, `[{"role":"user","content":%q}]`, text))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for i := range 12 {
		all.WriteString(engines.Token(p, i))
	}
	return a.status == 200 && strings.Contains(a.body, fmt.Sprintf("%q", all.String()))
}

// Guards against a caller that gets the answer to another request, or an incomplete answer that looks complete, when
// answers are crossed, late, cut short or lost. Requests share pooled connections.
func TestCallersGetTheirOwnAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := func(name string) int { return rapid.IntRange(0, 2).Draw(rt, name) }
		f := engines.Faults{
			CrossAnswers: count("cross"), LoseAnswers: count("lose answers"), LoseRequests: count("lose requests"),
			SilentCalls: count("silent calls"), SilentStreams: count("silent streams"), DieAfter: count("die"),
			Errors: count("errors"), DieAtEvent: int64(rapid.IntRange(0, 14).Draw(rt, "at")), NoResume: rapid.Bool().Draw(rt, "no resume"),
		}
		streams := rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(rt, "streams")
		runInBubble(t, engines.Config{DecodeTokensPerSecond: 10, Slots: 3}, nil, func(env *testEnv) {
			for _, e := range env.engines {
				e.SetFaults(f)
			}
			var wg sync.WaitGroup
			for i, stream := range streams {
				wg.Go(func() {
					text := fmt.Sprintf("caller %d", i)
					a := env.call("POST", "/v1/chat/completions", chat(text, stream), bearer)
					if a.err != nil {
						rt.Errorf("%s: no answer: %v", text, a.err)
					}
					broken := stream && strings.Contains(a.body, "stream_broken") && !strings.Contains(a.body, "[DONE]")
					if refused := a.refusal().Error.Reason != ""; !refused && !broken && !isOwnAnswer(t, a, text, stream) {
						rt.Errorf("%s: %+v", text, a)
					}
				})
			}
			wg.Wait()
		})
	})
}

// Guards against a request that fails although a retry is safe, and against retries that the retry budget forbids.
func TestIdempotentRequestsAreRetriedWithinBudget(t *testing.T) {
	faults := map[string]engines.Faults{
		"wrong_response": {CrossAnswers: 1}, "unknown": {LoseAnswers: 1}, "target_status": {Errors: 1}, "draining": {Draining: true},
	}
	for reason, f := range faults {
		for _, allow := range []bool{true, false} {
			runInBubble(t, engines.Config{}, func(c *gateway.Config) {
				c.RetryBudget = fixedBudget(allow)
			}, func(env *testEnv) {
				env.engines[0].SetFaults(f)
				a := env.call("POST", "/v1/chat/completions", chat("again", false), bearer)
				if want := allow || reason == "draining"; isOwnAnswer(t, a, "again", false) != want {
					t.Errorf("%s, budget %t: %+v", reason, allow, a)
				}
				if n := env.counter(fmt.Sprintf(`cuminhook_retries_total{reason=%q}`, reason)); (n == 1) != (allow || reason == "draining") {
					t.Errorf("%s, budget %t: %d retries counted", reason, allow, n)
				}
			})
		}
	}
}

// fixedBudget is a retry budget that allows all retries or none.
type fixedBudget bool

func (b fixedBudget) Allow(string) bool { return bool(b) }

// Guards against a second run of a call that must not be repeated, and against a refusal that says not_run although the
// service ran the call. Control: on an idempotent route the same faults lead to a second run.
func TestNonIdempotentCallsRunAtMostOnce(t *testing.T) {
	faults := map[string]services.Faults{
		"none": {}, "lost request": {LoseRequests: 9}, "lost answer": {LoseAnswers: 9}, "cut answer": {CutAnswers: 9},
		"crossed answer": {CrossAnswers: 9}, "silent": {SilentCalls: 9}, "not run": {NotRun: 9}, "not run once": {NotRun: 1},
		"error": {Errors: 9}, "draining": {Draining: true}, "slow": {Delay: 20 * time.Second}, "unreachable": {},
	}
	repeated := 0
	for name, f := range faults {
		for _, path := range []string{"/siren/sound", "/siren/state"} {
			runInBubble(t, engines.Config{}, nil, func(env *testEnv) {
				for _, s := range env.services {
					s.SetFaults(f)
				}
				if name == "unreachable" {
					_ = env.ln["s0"].Close()
					_ = env.ln["s1"].Close()
				}
				a := env.call("POST", path, "{}", bearer, "Idempotency-Key: k1")
				time.Sleep(30 * time.Second) // virtual; time for late runs
				runs := env.services[0].Runs()["etna:k1"] + env.services[1].Runs()["etna:k1"]
				if path == "/siren/state" {
					repeated += max(0, runs-1)
				} else if runs > 1 {
					t.Errorf("%s: %d runs", name, runs)
				}
				state := a.refusal().Error.Run
				if state == "not_run" && runs != 0 {
					t.Errorf("%s %s: refused as not run after %d runs", name, path, runs)
				}
				if a.err != nil || a.status != 200 && a.status != 500 && state == "" {
					t.Errorf("%s %s: neither answer nor refusal: %+v", name, path, a)
				}
				if provable := name == "not run" || name == "draining" || name == "unreachable"; provable != (state == "not_run") {
					t.Errorf("%s %s: run state %q", name, path, state)
				}
				if lost := strings.Contains(name, "answer"); lost && path == "/siren/sound" && (a.status < 500 || state != "unknown") {
					t.Errorf("%s: %+v, want a refusal with run state unknown", name, a)
				}
				if name == "not run once" && (a.status != 200 || runs != 1) {
					t.Errorf("a call provably not run was not tried again: %+v", a)
				}
			})
		}
	}
	if repeated == 0 {
		t.Error("control: no fault repeated an idempotent call")
	}
}

// Guards against a not_run statement about a model request that an engine ran.
func TestNotRunIsTrueForModelRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var fs [2]engines.Faults
		for i := range fs {
			n := func(name string) int { return rapid.IntRange(0, 3).Draw(rt, name) }
			fs[i] = engines.Faults{
				LoseAnswers: n("lose"), LoseRequests: n("lose requests"), Errors: n("errors"), CrossAnswers: n("cross"),
				SilentCalls: n("silent"), Draining: rapid.Bool().Draw(rt, "draining"),
			}
		}
		runInBubble(t, engines.Config{DecodeTokensPerSecond: 50}, nil, func(env *testEnv) {
			for i, f := range fs {
				env.engines[i].SetFaults(f)
			}
			a := env.call("POST", "/v1/chat/completions", chat("x", rapid.Bool().Draw(rt, "stream")), bearer, "X-Request-Id: probe")
			time.Sleep(10 * time.Second)
			if runs := len(env.engines[0].Runs("probe")) + len(env.engines[1].Runs("probe")); a.refusal().Error.Run == "not_run" && runs > 0 {
				rt.Errorf("not_run after %d runs: %+v", runs, a)
			}
		})
	})
}

// keyPositions are the positions of a request at which a caller may write its key.
var keyPositions = map[string]func(k string) (path, body string, headers []string){
	"cookie":     func(k string) (string, string, []string) { return "/siren/state", "", []string{"Cookie: k=" + k} },
	"x-api-key":  func(k string) (string, string, []string) { return "/siren/state", "", []string{"X-Api-Key: " + k} },
	"accept":     func(k string) (string, string, []string) { return "/siren/state", "", []string{"Accept: " + k} },
	"user agent": func(k string) (string, string, []string) { return "/siren/state", "", []string{"User-Agent: " + k} },
	"request id": func(k string) (string, string, []string) { return "/siren/state", "", []string{"X-Request-Id: " + k} },
	"idempotency": func(k string) (string, string, []string) {
		return "/siren/state", "", []string{"Idempotency-Key: " + k}
	},
	"header name":   func(k string) (string, string, []string) { return "/siren/state", "", []string{k + ": 1"} },
	"query":         func(k string) (string, string, []string) { return "/siren/state?a=" + k, "", nil },
	"path":          func(k string) (string, string, []string) { return "/siren/state/" + k, "", nil },
	"body":          func(k string) (string, string, []string) { return "/siren/state", "a" + k + "b", nil },
	"prompt":        func(k string) (string, string, []string) { return "/v1/chat/completions", chat(k, false), nil },
	"stream prompt": func(k string) (string, string, []string) { return "/v1/chat/completions", chat("a"+k, true), nil },
	"member name": func(k string) (string, string, []string) {
		return "/v1/completions", `{"model":"bolt","prompt":"a","` + k + `":1}`, nil
	},
}

// keyEncodings are the encodings of a key that a target may decode.
var keyEncodings = map[string]func(string) string{
	"plain":   func(k string) string { return k },
	"percent": func(k string) string { return fmt.Sprintf("%%%02X%s", k[0], k[1:]) },
	"percent twice": func(k string) string {
		return strings.ReplaceAll(fmt.Sprintf("%%%02x%s", k[0], k[1:]), "%", "%25")
	},
	"json": func(k string) string { return fmt.Sprintf(`\u%04x%s`, k[0], k[1:]) },
}

// containsDecoded reports whether sent contains k, plain or in any combination of keyEncodings.
func containsDecoded(sent, k string) bool {
	for range 4 {
		if strings.Contains(sent, k) {
			return true
		}
		if plain, err := url.PathUnescape(sent); err == nil {
			sent = plain
		}
		sent = strings.ReplaceAll(sent, fmt.Sprintf(`\u%04x`, k[0]), k[:1])
	}
	return false
}

// Guards against a caller's key that reaches a target or the log, and against text of the caller in the log, other than
// a request id. Control: a harmless word does reach targets from some of the same positions.
func TestNoTargetSeesTheKey(t *testing.T) {
	reached := 0
	rapid.Check(t, func(rt *rapid.T) {
		place := rapid.SampledFrom(sortedKeys(keyPositions)).Draw(rt, "place")
		encoding := rapid.SampledFrom(sortedKeys(keyEncodings)).Draw(rt, "encoding")
		scheme := rapid.SampledFrom([]string{"Bearer ", "bearer ", "BEARER  "}).Draw(rt, "scheme")
		runInBubble(t, engines.Config{}, nil, func(env *testEnv) {
			path, body, headers := keyPositions[place](keyEncodings[encoding](key))
			env.call("POST", path, body, append(headers, "Authorization: "+scheme+key)...)
			if sent, _ := env.sentAndLogged(); containsDecoded(sent, key) {
				rt.Errorf("%s, %s: a target received %s", place, encoding, sent)
			}
			path, body, headers = keyPositions[place](keyEncodings[encoding]("harmless-word"))
			env.call("POST", path, body, append(headers, bearer)...)
			sent, _ := env.sentAndLogged()
			if containsDecoded(sent, key) {
				rt.Errorf("%s, %s: a target received the Authorization header", place, encoding)
			}
			if containsDecoded(sent, "harmless-word") {
				reached++
			}
			env.closeOnce()
			_, log := env.sentAndLogged()
			ownText := containsDecoded(log, "harmless-word") && place != "request id"
			if containsDecoded(log, key) || ownText || !strings.Contains(log, `"status"`) {
				rt.Errorf("%s, %s: log %s", place, encoding, log)
			}
		})
	})
	if reached == 0 {
		t.Error("control: nothing written by callers reached a target")
	}
}

// Guards against a planned stop that aborts requests or streams, or that accepts connections after its delay. Control: a
// stop whose time ends before the open stream reports an error.
func TestPlannedStopFinishesOpenRequests(t *testing.T) {
	runInBubble(t, engines.Config{DecodeTokensPerSecond: 2}, nil, func(env *testEnv) {
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				text := fmt.Sprintf("stop %d", i)
				a := env.call("POST", "/v1/chat/completions", chat(text, i%2 == 0), bearer)
				if !isOwnAnswer(t, a, text, i%2 == 0) {
					t.Errorf("%s: %+v", text, a)
				}
			})
		}
		time.Sleep(time.Second)
		wg.Go(func() {
			if err := env.gw.Stop(context.Background(), 2*time.Second); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(time.Second)
		if a := env.call("GET", "/v1/models", "", bearer); a.status != 200 || !strings.Contains(a.header, "Connection: close") {
			t.Errorf("during the delay: %+v", a)
		}
		time.Sleep(1500 * time.Millisecond)
		if _, err := env.ln["gw"].Dial(); err == nil {
			t.Error("a connection was accepted after the delay")
		}
		wg.Wait()
	})
	runInBubble(t, engines.Config{DecodeTokensPerSecond: 2}, nil, func(env *testEnv) {
		c, br := env.openStream(key, "cut")
		defer c.Close()
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if env.gw.Stop(short, 0) == nil {
			t.Error("control: the stop did not report the open stream")
		}
		if end := streamEnd(br); end != "[DONE]" {
			t.Errorf("stream ended with %q", end)
		}
	})
}
