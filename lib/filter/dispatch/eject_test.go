package dispatch

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a failing target that goes on to get requests, one that gets several requests at once after
// its ejection, and one that stays ejected because its trial request is a long stream.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e ejector
		checkEjected := func(want bool, when string) {
			t.Helper()
			if e.usable("a") == want {
				t.Errorf("%s: ejected %t", when, !want)
			}
		}
		checkEjected(false, "at first")
		e.requestStarted("a")
		e.requestEnded("a", Failed)
		checkEjected(true, "after a failure")
		time.Sleep(minEjection)
		checkEjected(false, "after the ejection")
		e.requestStarted("a")
		checkEjected(true, "during the trial")
		e.requestEnded("a", Failed)
		time.Sleep(minEjection)
		checkEjected(true, "after a failed trial")
		time.Sleep(minEjection)
		checkEjected(false, "after the doubled ejection")
		e.requestStarted("a")
		time.Sleep(trialTimeout)
		checkEjected(false, "while the trial goes on")
		e.requestEnded("a", Cancelled)
		checkEjected(false, "after a cancelled trial")
		e.requestEnded("a", Draining)
		time.Sleep(drainEjection - time.Second)
		checkEjected(true, "while draining")
		e.requestEnded("a", Answered)
		checkEjected(false, "after an answer")
	})
}

// Guards against secrets that are not found in percent or JSON escapes, also nested ones.
func TestSecretsAreFoundInEscapes(t *testing.T) {
	s := secrets{[]byte("sk/key-1")}
	for text, want := range map[string]bool{
		"a sk/key-1 b": true, "sk%2Fkey-1": true, "sk%252fkey-1": true, `sk\/key-1`: true, `\u0073k/key-1`: true,
		`\u0073k%2Fkey-1`: true, `sk%5C/key-1`: true, `sk%5cu002fkey-1`: true, "%": false, `\`: false, `\u00`: false, "sk-key-1": false, "": false,
	} {
		if s.foundIn([]byte(text)) != want {
			t.Errorf("%s: found %t", text, !want)
		}
	}
}
