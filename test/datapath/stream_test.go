package datapath

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/gateway"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/prompt"
	engines "cuminhook.org/cuminhook/lib/standin/engine"
)

// expectedEvents returns a part of each event that an engine generates for a prompt, in order.
func expectedEvents(t testing.TB, text string) []string {
	p, err := prompt.ParseChat(fmt.Appendf(nil, `[{"role":"user","content":%q}]`, text))
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for i := range 12 {
		out = append(out, fmt.Sprintf(`"content":%q`, engines.Token(p, i)))
	}
	return append(out, `"usage"`, "[DONE]")
}

// matchingEvents returns len(got) if each event contains the expected part at its index in want, and otherwise -1.
func matchingEvents(got, want []string) int {
	if len(got) > len(want) {
		return -1
	}
	for i := range got {
		if !strings.Contains(got[i], want[i]) {
			return -1
		}
	}
	return len(got)
}

// Guards against a stream that loses, repeats or mixes events, or ends as if complete, when its connection closes or
// stalls after any event. Control: without resumption the caller must see an error event.
func TestStreamBreaksAtEveryEvent(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, resume := range []string{"resume", "off", "refused"} {
			for at := range 15 {
				runInBubble(t, engines.Config{DecodeTokensPerSecond: 20}, func(c *gateway.Config) {
					c.NoResume = resume == "off"
				}, func(env *testEnv) {
					for _, e := range env.engines {
						f := engines.Faults{DieAtEvent: int64(at), DieAfter: 1, NoResume: resume == "refused"}
						if silent {
							f.DieAfter, f.SilentStreams = 0, 1
						}
						e.SetFaults(f)
					}
					env.engines[1].SetFaults(engines.Faults{})
					start := time.Now()
					a := env.call("POST", "/v1/chat/completions", chat("folgore", true), bearer)
					events, failed := streamEvents(a.body)
					n := matchingEvents(events, expectedEvents(t, "folgore"))
					// A break before the first event leads to a retry at the other engine; one after the last has no effect.
					complete := at == 0 || at == 14 || resume == "resume"
					name := fmt.Sprintf("silent %t, %s, event %d", silent, resume, at)
					switch {
					case complete && (n != 14 || failed):
						t.Errorf("%s: %d events, error event %t, want all", name, n, failed)
					case !complete && (n != at || !failed || strings.Contains(a.body, "[DONE]")):
						t.Errorf("%s: %d events, error event %t, want a reported break", name, n, failed)
					}
					if took := time.Since(start); took > 6*time.Second {
						t.Errorf("%s: took %s; a silent target must be noticed within 4 s", name, took)
					}
				})
			}
		}
	}
}

// openStream starts a stream with key k and returns its connection and a reader positioned after the header.
func (env *testEnv) openStream(k, text string) (net.Conn, *bufio.Reader) {
	c, err := env.ln["gw"].Dial()
	if err != nil {
		env.t.Fatal(err)
	}
	body := chat(text, true)
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: gw\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", k, len(body), body)
	br := bufio.NewReader(c)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			env.t.Fatal(err)
		}
		if line == "\r\n" {
			return c, br
		}
	}
}

// Guards against an open stream that outlives its key, for each way in which a key becomes invalid. Subscribers are not
// notified of status changes, so the periodic check must detect them. Control: the stream of another key.
func TestWithdrawnKeyEndsOpenStreams(t *testing.T) {
	withdraw := map[string]func(*testEnv){
		"key deleted": func(env *testEnv) {
			st := testState()
			for index, k := range st.Keys {
				if k.Organisation == "etna" {
					delete(st.Keys, index)
				}
			}
			env.view.Set(testSnapshot(st))
		},
		"restricted in outage": func(env *testEnv) {
			snap := testSnapshot(testState())
			for index, k := range snap.State.Keys {
				if k.Organisation == "etna" {
					snap.Restrictions = []manifest.Restriction{{Keys: []string{index}}}
				}
			}
			env.view.Set(snap)
			env.view.SetStatus(confview.Outage, false)
		},
		"isolated": func(env *testEnv) { env.view.SetStatus(confview.Isolated, false) },
	}
	for name, change := range withdraw {
		runInBubble(t, engines.Config{DecodeTokensPerSecond: 5}, nil, func(env *testEnv) {
			c, br := env.openStream(key, "one")
			defer c.Close()
			control, controlBr := env.openStream(otherKey, "two")
			defer control.Close()
			time.Sleep(time.Second) // virtual
			change(env)
			start := time.Now()
			if end := streamEnd(br); end != "stream_broken" || time.Since(start) > 300*time.Millisecond {
				t.Errorf("%s: stream ended with %q after %s", name, end, time.Since(start))
			}
			want := "[DONE]"
			if name == "isolated" {
				want = "stream_broken"
			}
			if end := streamEnd(controlBr); end != want {
				t.Errorf("%s: control ended with %q, want %s", name, end, want)
			}
			time.Sleep(time.Second)
			for _, e := range env.engines {
				for _, l := range e.Runs("") {
					if !l.Done {
						t.Errorf("%s: engine work goes on: %+v", name, l)
					}
				}
			}
		})
	}
}

// Guards against events that are relayed between the time at which a key becomes invalid and the next periodic check of
// open streams. A gateway that resumes after a pause has many such events in its socket.
func TestNoEventForInvalidKey(t *testing.T) {
	runInBubble(t, engines.Config{DecodeTokensPerSecond: 50}, nil, func(env *testEnv) {
		c, br := env.openStream(key, "one")
		defer c.Close()
		time.Sleep(50 * time.Millisecond) // virtual; 2 of 12 events
		synctest.Wait()
		generated := 0
		for _, e := range env.engines {
			for _, l := range e.Runs("") {
				generated += l.Events
			}
		}
		env.view.SetStatus(confview.Isolated, false)
		events, end := 0, ""
		for end == "" {
			line, err := br.ReadString('\n')
			switch {
			case err != nil:
				end = err.Error()
			case strings.Contains(line, "stream_broken"), strings.Contains(line, "[DONE]"):
				end = line
			case strings.HasPrefix(line, "data: "):
				events++
			}
		}
		if !strings.Contains(end, "stream_broken") || events > generated {
			t.Errorf("%d events of %d generated while the key was valid; end %q", events, generated, end)
		}
	})
}

// streamEnd reads a stream to its end and returns "stream_broken", "[DONE]" or the text of the read error.
func streamEnd(br *bufio.Reader) string {
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return err.Error()
		}
		for _, end := range []string{"stream_broken", "[DONE]"} {
			if strings.Contains(line, end) {
				return end
			}
		}
	}
}

// Guards against engines that go on generating for callers that have disconnected.
func TestCallerGoneCancelsEngineWork(t *testing.T) {
	for _, stream := range []bool{false, true} {
		runInBubble(t, engines.Config{DecodeTokensPerSecond: 1}, nil, func(env *testEnv) {
			c, err := env.ln["gw"].Dial()
			if err != nil {
				t.Fatal(err)
			}
			body := chat("gone", stream)
			fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: gw\r\n%s\r\nContent-Length: %d\r\n\r\n%s", bearer, len(body), body)
			time.Sleep(2500 * time.Millisecond) // virtual
			_ = c.Close()
			time.Sleep(time.Second)
			logs := slices.Concat(env.engines[0].Runs(""), env.engines[1].Runs(""))
			if len(logs) != 1 || !logs[0].Cancelled || logs[0].Events >= 12 {
				t.Errorf("stream %t: %+v", stream, logs)
			}
		})
	}
}
