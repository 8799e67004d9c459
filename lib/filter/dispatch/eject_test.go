package dispatch

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a failing target that keeps getting work, one that gets many requests at once when it is
// readmitted, and one that stays out because its trial is a long stream.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e ejector
		out := func(want bool, when string) {
			t.Helper()
			if e.usable("a") == want {
				t.Errorf("%s: ejected %t", when, !want)
			}
		}
		out(false, "at first")
		e.start("a")
		e.end("a", Failed)
		out(true, "after a failure")
		time.Sleep(firstEjection)
		out(false, "after the ejection")
		e.start("a")
		out(true, "during the trial")
		e.end("a", Failed)
		time.Sleep(firstEjection)
		out(true, "after a failed trial")
		time.Sleep(firstEjection)
		out(false, "after the doubled ejection")
		e.start("a")
		time.Sleep(trialLimit)
		out(false, "while the trial goes on")
		e.end("a", Cancelled)
		out(false, "after a cancelled trial")
		e.end("a", Draining)
		time.Sleep(drainEjection - time.Second)
		out(true, "while draining")
		e.end("a", Answered)
		out(false, "after an answer")
	})
}

// Guards against a secret that is found in one notation only.
func TestSecretsAreFoundInEscapes(t *testing.T) {
	s := secrets{[]byte("sk/key-1")}
	for text, want := range map[string]bool{
		"a sk/key-1 b": true, "sk%2Fkey-1": true, "sk%252fkey-1": true, `sk\/key-1`: true, `\u0073k/key-1`: true,
		`\u0073k%2Fkey-1`: true, `sk%5C/key-1`: true, `sk%5cu002fkey-1`: true, "%": false, `\`: false, `\u00`: false, "sk-key-1": false, "": false,
	} {
		if s.in([]byte(text)) != want {
			t.Errorf("%s: found %t", text, !want)
		}
	}
}
