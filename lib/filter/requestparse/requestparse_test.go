package requestparse

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

func parseChat(body string) (*pipeline.Exchange, error) {
	ex := &pipeline.Exchange{HTTP: &fasthttp.RequestCtx{}}
	ex.HTTP.Request.Header.SetMethod("POST")
	ex.HTTP.Request.SetRequestURI(PathChat)
	ex.HTTP.Request.SetBodyString(body)
	return ex, Parse(ex)
}

// Guards against requests that gateway and engine interpret differently, and against requests whose output can exceed
// the tokens that were charged.
func TestReadRefusesAmbiguousOrUnboundedRequests(t *testing.T) {
	const messages = `"messages":[{"role":"user","content":"a"}]`
	for body, ok := range map[string]bool{
		`{"model":"m",` + messages + `}`:                                          true,
		`{"model":"m","max_tokens":3,"max_completion_tokens":3,` + messages + `}`: true,
		`{"model":"m","max_tokens":null,"n":1,` + messages + `}`:                  true,
		`{"model":"m","messages":[{"role":"u","content":[{"text":"a"}]}]}`:        true,
		`{"model":"m","max_tokens":3,"max_completion_tokens":4,` + messages + `}`: false,
		`{"model":"m","model":"n",` + messages + `}`:                              false,
		`{"model":"m","mod\u0065l":"n",` + messages + `}`:                         false,
		`{"model":"m","n":2,` + messages + `}`:                                    false,
		`{"model":"m","best_of":2,` + messages + `}`:                              false,
		`{"model":"m","max_tokens":0,` + messages + `}`:                           false,
		`{"model":"m","max_tokens":-1,` + messages + `}`:                          false,
		`{"model":"m","max_tokens":1e3,` + messages + `}`:                         false,
		`{"model":"m","max_tokens":"9",` + messages + `}`:                         false,
		`{"model":"m","max_tokens":99999999999,` + messages + `}`:                 false,
		`{"model":"m","stream":"yes",` + messages + `}`:                           false,
		`{"model":"m","messages":[]}`:                                             false,
		`{"model":"m","messages":[{"content":"a"}]}`:                              false,
		`{"model":"m"}`:                     false,
		`{"model":"",` + messages + `}`:     false,
		`{` + messages + `}`:                false,
		`{"model":7,` + messages + `}`:      false,
		`{"model":"m",` + messages + `} {}`: false,
		`[{"model":"m",` + messages + `}]`:  false,
		`{"model":"m",` + messages:          false,
		``:                                  false,
	} {
		_, err := parseChat(body)
		if (err == nil) != ok {
			t.Errorf("%s: %v", body, err)
		}
		if r, typed := refusal.As(err); err != nil && (!typed || r.Run != refusal.NotRun || r.Remedy == "") {
			t.Errorf("%s: %v is not a complete refusal", body, err)
		}
	}
}

// FuzzParse guards against panics and untyped errors, and checks that the fields of an accepted body can be encoded again.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 56\r\n\r\n{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"abcd\"}]}"))
	f.Add([]byte("POST /v1/completions HTTP/1.1\r\nHost: a\r\nX-Request-Timeout-Ms: 5\r\nContent-Length: 27\r\n\r\n{\"model\":\"m\",\"prompt\":\"abc\"}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		ex := &pipeline.Exchange{HTTP: &fasthttp.RequestCtx{}}
		if ex.HTTP.Request.ReadLimitBody(bufio.NewReader(bytes.NewReader(raw)), 1<<20) != nil {
			return
		}
		if err := Parse(ex); err != nil {
			if r, ok := refusal.As(err); !ok || r.Run != refusal.NotRun {
				t.Fatalf("%v", err)
			}
			return
		}
		if ex.Kind != pipeline.KindModel {
			return
		}
		if _, err := json.Marshal(ex.Fields); err != nil || ex.Model == "" || ex.PromptTokens < 0 || ex.MaxOutput < 0 {
			t.Fatalf("accepted %q: %+v", raw, ex.Fields)
		}
	})
}
