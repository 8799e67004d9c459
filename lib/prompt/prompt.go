// Package prompt parses the prompt of a model request, estimates its size in tokens and hashes it.
package prompt

import (
	"bytes"
	"encoding/json"
	"errors"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual size of a token in English prose. The engine's count replaces the estimate when
	// the request ends.
	bytesPerToken = 4
	// tokensPerMessage accounts for the control tokens that chat templates put around a message.
	tokensPerMessage = 4
	// prefixBytes is the length of the prefix that is hashed. System prompts that many requests share are longer.
	prefixBytes = 512
)

// Errors of ParseChat and ParseCompletion. Their texts name the remedy.
var (
	ErrNoMessages     = errors.New("messages must be a list with at least one message")
	ErrInvalidMessage = errors.New("each message must be an object with a role and a content of text or parts")
	ErrNoPrompt       = errors.New("prompt must be a text or a list of texts")
)

// Prompt holds the estimated size and the hashes of a prompt.
type Prompt struct {
	EstimatedTokens int64  // estimated size of the prompt
	PrefixHash      uint64 // hash of the first 512 bytes of the text; zero if it is shorter
	TextHash        uint64 // hash of the whole text
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is an element of a message's content list. Parts other than text are ignored.
type contentPart struct {
	Text string `json:"text"`
}

// ParseChat parses the messages of a chat completion. The error is ErrNoMessages or ErrInvalidMessage.
func ParseChat(raw json.RawMessage) (Prompt, error) {
	var msgs []message
	if json.Unmarshal(raw, &msgs) != nil || len(msgs) == 0 {
		return Prompt{}, ErrNoMessages
	}
	var text []byte
	for _, m := range msgs {
		if m.Role == "" {
			return Prompt{}, ErrInvalidMessage
		}
		text = append(append(text, m.Role...), '\n')
		var err error
		if text, err = appendContent(text, m.Content); err != nil {
			return Prompt{}, err
		}
		text = append(text, '\n')
	}
	return newPrompt(text, int64(len(msgs))*tokensPerMessage), nil
}

// appendContent appends the text of a message's content, which is a string, a list of parts, null or missing.
func appendContent(text []byte, raw json.RawMessage) ([]byte, error) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) { // as in an assistant message that only calls tools
		return text, nil
	}
	if raw[0] == '[' {
		var parts []contentPart
		if json.Unmarshal(raw, &parts) != nil {
			return nil, ErrInvalidMessage
		}
		for _, p := range parts {
			text = append(text, p.Text...)
		}
		return text, nil
	}
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return nil, ErrInvalidMessage
	}
	return append(text, s...), nil
}

// ParseCompletion parses the prompt of a plain completion, a string or a list of strings. The error is ErrNoPrompt.
func ParseCompletion(raw json.RawMessage) (Prompt, error) {
	var single string
	if json.Unmarshal(raw, &single) == nil && !bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return newPrompt([]byte(single), 0), nil
	}
	var list []string
	if json.Unmarshal(raw, &list) != nil || len(list) == 0 {
		return Prompt{}, ErrNoPrompt
	}
	var text []byte
	for _, s := range list {
		text = append(append(text, s...), '\n')
	}
	return newPrompt(text, 0), nil
}

// newPrompt returns the Prompt of text. The estimate includes extra tokens on top of those of text.
func newPrompt(text []byte, extra int64) Prompt {
	p := Prompt{EstimatedTokens: (int64(len(text))+bytesPerToken-1)/bytesPerToken + extra, TextHash: xxhash.Sum64(text)}
	if len(text) >= prefixBytes {
		p.PrefixHash = xxhash.Sum64(text[:prefixBytes])
	}
	return p
}
