// Package prompt reads the prompt of a model request: its size in tokens and the hash of its leading part.
package prompt

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual size of a token in running English text; the engine's own count replaces
	// the estimate when the request ends.
	bytesPerToken = 4
	// tokensPerMessage accounts for the marks that chat templates put around a message.
	tokensPerMessage = 4
	// prefixBytes is the leading part that is hashed. System prompts shared by many requests are longer.
	prefixBytes = 512
)

// Errors of Parse. Their texts name the remedy.
var (
	ErrNoMessages = errors.New("messages must be a list with at least one message")
	ErrMessage    = errors.New("each message must be an object with a role and a content of text or parts")
	ErrNoPrompt   = errors.New("prompt must be a text or a list of texts")
)

// Prompt is what the gateway knows of a prompt.
type Prompt struct {
	Tokens int64  // estimate
	Prefix uint64 // hash of the first 512 bytes; zero if the prompt is shorter
	Hash   uint64 // of the whole text
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type part struct {
	Text string `json:"text"`
}

// Chat reads the messages of a chat completion.
func Chat(raw json.RawMessage) (Prompt, error) {
	var msgs []message
	if json.Unmarshal(raw, &msgs) != nil || len(msgs) == 0 {
		return Prompt{}, ErrNoMessages
	}
	var text []byte
	for _, m := range msgs {
		if m.Role == "" {
			return Prompt{}, ErrMessage
		}
		text = append(append(text, m.Role...), '\n')
		var err error
		if text, err = appendContent(text, m.Content); err != nil {
			return Prompt{}, err
		}
		text = append(text, '\n')
	}
	return measure(text, int64(len(msgs))*tokensPerMessage), nil
}

func appendContent(text []byte, raw json.RawMessage) ([]byte, error) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) { // an assistant message with tool calls only
		return text, nil
	}
	if raw[0] == '[' {
		var parts []part
		if json.Unmarshal(raw, &parts) != nil {
			return nil, ErrMessage
		}
		for _, p := range parts {
			text = append(text, p.Text...)
		}
		return text, nil
	}
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return nil, ErrMessage
	}
	return append(text, s...), nil
}

// Completion reads the prompt of a plain completion.
func Completion(raw json.RawMessage) (Prompt, error) {
	var one string
	if json.Unmarshal(raw, &one) == nil && !bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return measure([]byte(one), 0), nil
	}
	var many []string
	if json.Unmarshal(raw, &many) != nil || len(many) == 0 {
		return Prompt{}, ErrNoPrompt
	}
	var text []byte
	for _, s := range many {
		text = append(append(text, s...), '\n')
	}
	return measure(text, 0), nil
}

func measure(text []byte, extra int64) Prompt {
	p := Prompt{Tokens: (int64(len(text))+bytesPerToken-1)/bytesPerToken + extra, Hash: xxhash.Sum64(text)}
	if len(text) >= prefixBytes {
		p.Prefix = xxhash.Sum64(text[:prefixBytes])
	}
	return p
}
