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

// own reports whether an answer is the complete one to the caller's own prompt.
func own(t testing.TB, a answer, text string, stream bool) bool {
	if stream {
		events, failed := data(a.body)
		return !failed && prefixOf(events, tokens(t, text)) == 14
	}
	p, err := prompt.Chat(fmt.Appendf(nil, `[{"role":"user","content":%q}]`, text))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for i := range 12 {
		all.WriteString(engines.Token(p, i))
	}
	return a.status == 200 && strings.Contains(a.body, fmt.Sprintf("%q", all.String()))
}

// Guards against a caller that gets another request's answer, or part of one as if it were whole, when
// answers are crossed, late, cut or lost. Requests share pooled connections.
func TestCallersGetTheirOwnAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := func(name string) int { return rapid.IntRange(0, 2).Draw(rt, name) }
		f := engines.Faults{
			CrossAnswers: count("cross"), LoseAnswers: count("lose answers"), LoseRequests: count("lose requests"),
			SilentCalls: count("silent calls"), SilentStreams: count("silent streams"), DieAfter: count("die"),
			Errors: count("errors"), DieAtEvent: int64(rapid.IntRange(0, 14).Draw(rt, "at")), NoResume: rapid.Bool().Draw(rt, "no resume"),
		}
		streams := rapid.SliceOfN(rapid.Bool(), 1, 12).Draw(rt, "streams")
		bubble(t, engines.Config{Decode: 10, Slots: 3}, nil, func(r *rig) {
			for _, e := range r.engines {
				e.SetFaults(f)
			}
			var wg sync.WaitGroup
			for i, stream := range streams {
				wg.Go(func() {
					text := fmt.Sprintf("caller %d", i)
					a := r.call("POST", "/v1/chat/completions", chat(text, stream), bearer)
					if a.err != nil {
						rt.Errorf("%s: no answer: %v", text, a.err)
					}
					broken := stream && strings.Contains(a.body, "stream_broken") && !strings.Contains(a.body, "[DONE]")
					if refused := a.refusal().Error.Reason != ""; !refused && !broken && !own(t, a, text, stream) {
						rt.Errorf("%s: %+v", text, a)
					}
				})
			}
			wg.Wait()
		})
	})
}

// Guards against giving up where another attempt is safe, and against attempts that the budget forbids.
func TestIdempotentRequestsAreRetriedWithinBudget(t *testing.T) {
	faults := map[string]engines.Faults{
		"wrong_response": {CrossAnswers: 1}, "unknown": {LoseAnswers: 1}, "target_status": {Errors: 1}, "draining": {Draining: true},
	}
	for reason, f := range faults {
		for _, allow := range []bool{true, false} {
			bubble(t, engines.Config{}, func(c *gateway.Config) { c.Budget = budget(allow) }, func(r *rig) {
				r.engines[0].SetFaults(f)
				a := r.call("POST", "/v1/chat/completions", chat("again", false), bearer)
				if want := allow || reason == "draining"; own(t, a, "again", false) != want {
					t.Errorf("%s, budget %t: %+v", reason, allow, a)
				}
				if n := r.counter(fmt.Sprintf(`cuminhook_retries_total{reason=%q}`, reason)); (n == 1) != (allow || reason == "draining") {
					t.Errorf("%s, budget %t: %d retries counted", reason, allow, n)
				}
			})
		}
	}
}

type budget bool

func (b budget) Allow(string) bool { return bool(b) }

// Guards against a second run of a call that must not be repeated, and against a refusal that says not_run
// although the service ran the call. On an idempotent route the same faults lead to a second run: that is
// the control.
func TestNonIdempotentCallsRunAtMostOnce(t *testing.T) {
	faults := map[string]services.Faults{
		"none": {}, "lost request": {LoseRequests: 9}, "lost answer": {LoseAnswers: 9}, "cut answer": {CutAnswers: 9},
		"crossed answer": {CrossAnswers: 9}, "silent": {Silent: 9}, "not run": {NotRun: 9}, "not run once": {NotRun: 1},
		"error": {Errors: 9}, "draining": {Draining: true}, "slow": {Delay: 20 * time.Second}, "unreachable": {},
	}
	repeated := 0
	for name, f := range faults {
		for _, path := range []string{"/siren/sound", "/siren/state"} {
			bubble(t, engines.Config{}, nil, func(r *rig) {
				for _, s := range r.services {
					s.SetFaults(f)
				}
				if name == "unreachable" {
					_ = r.ln["s0"].Close()
					_ = r.ln["s1"].Close()
				}
				a := r.call("POST", path, "{}", bearer, "Idempotency-Key: k1")
				time.Sleep(30 * time.Second) // virtual; lets late runs happen
				runs := r.services[0].Runs()["etna:k1"] + r.services[1].Runs()["etna:k1"]
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
		bubble(t, engines.Config{Decode: 50}, nil, func(r *rig) {
			for i, f := range fs {
				r.engines[i].SetFaults(f)
			}
			a := r.call("POST", "/v1/chat/completions", chat("x", rapid.Bool().Draw(rt, "stream")), bearer, "X-Request-Id: probe")
			time.Sleep(10 * time.Second)
			if runs := len(r.engines[0].Runs("probe")) + len(r.engines[1].Runs("probe")); a.refusal().Error.Run == "not_run" && runs > 0 {
				rt.Errorf("not_run after %d runs: %+v", runs, a)
			}
		})
	})
}

// positions are the places of a request in which a caller may write its key.
var positions = map[string]func(k string) (path, body string, headers []string){
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

// encodings write a key so that a target would still read it.
var encodings = map[string]func(string) string{
	"plain":   func(k string) string { return k },
	"percent": func(k string) string { return fmt.Sprintf("%%%02X%s", k[0], k[1:]) },
	"percent twice": func(k string) string {
		return strings.ReplaceAll(fmt.Sprintf("%%%02x%s", k[0], k[1:]), "%", "%25")
	},
	"json": func(k string) string { return fmt.Sprintf(`\u%04x%s`, k[0], k[1:]) },
}

// reveals reports whether what targets received holds k in any encoding that they may undo.
func reveals(sent, k string) bool {
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

// Guards against a target or a log line that sees a caller's key, and a log line with text of the caller
// other than a request id. A harmless word in the same places does reach targets
// from some of them: that is the control.
func TestNoTargetSeesTheKey(t *testing.T) {
	reached := 0
	rapid.Check(t, func(rt *rapid.T) {
		place := rapid.SampledFrom(sortedKeys(positions)).Draw(rt, "place")
		encoding := rapid.SampledFrom(sortedKeys(encodings)).Draw(rt, "encoding")
		scheme := rapid.SampledFrom([]string{"Bearer ", "bearer ", "BEARER  "}).Draw(rt, "scheme")
		bubble(t, engines.Config{}, nil, func(r *rig) {
			path, body, headers := positions[place](encodings[encoding](key))
			r.call("POST", path, body, append(headers, "Authorization: "+scheme+key)...)
			if sent, _ := r.texts(); reveals(sent, key) {
				rt.Errorf("%s, %s: a target received %s", place, encoding, sent)
			}
			path, body, headers = positions[place](encodings[encoding]("harmless-word"))
			r.call("POST", path, body, append(headers, bearer)...)
			sent, _ := r.texts()
			if reveals(sent, key) {
				rt.Errorf("%s, %s: a target received the Authorization header", place, encoding)
			}
			if reveals(sent, "harmless-word") {
				reached++
			}
			r.closeOnce()
			_, log := r.texts()
			ownText := reveals(log, "harmless-word") && place != "request id"
			if reveals(log, key) || ownText || !strings.Contains(log, `"status"`) {
				rt.Errorf("%s, %s: log %s", place, encoding, log)
			}
		})
	})
	if reached == 0 {
		t.Error("control: nothing written by callers reached a target")
	}
}

// Guards against a planned stop that cuts requests or streams, or that accepts callers after its delay. A
// stop without time for the open stream is the control.
func TestGracefulStopCutsNothing(t *testing.T) {
	bubble(t, engines.Config{Decode: 2}, nil, func(r *rig) {
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				text := fmt.Sprintf("stop %d", i)
				a := r.call("POST", "/v1/chat/completions", chat(text, i%2 == 0), bearer)
				if !own(t, a, text, i%2 == 0) {
					t.Errorf("%s: %+v", text, a)
				}
			})
		}
		time.Sleep(time.Second)
		wg.Go(func() {
			if err := r.gw.Stop(context.Background(), 2*time.Second); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(time.Second)
		if a := r.call("GET", "/v1/models", "", bearer); a.status != 200 || !strings.Contains(a.header, "Connection: close") {
			t.Errorf("during the delay: %+v", a)
		}
		time.Sleep(1500 * time.Millisecond)
		if _, err := r.ln["gw"].Dial(); err == nil {
			t.Error("a connection was accepted after the delay")
		}
		wg.Wait()
	})
	bubble(t, engines.Config{Decode: 2}, nil, func(r *rig) {
		c, br := r.openStream(key, "cut")
		defer c.Close()
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if r.gw.Stop(short, 0) == nil {
			t.Error("control: the stop did not report the open stream")
		}
		if end := streamEnd(br); end != "[DONE]" {
			t.Errorf("stream ended with %q", end)
		}
	})
}
