package ratekeeper

import "encoding/json"

// kind is what a message is for.
type kind uint8

const (
	ask    kind = iota + 1 // for the tokens of a request
	answer                 // to an ask
	refund                 // of tokens whose request did not run
)

// message is what hosts send each other.
type message struct {
	Kind         kind   `json:"k"`
	From         string `json:"f"` // sender
	Origin       string `json:"h"` // host whose request it is
	ID           uint64 `json:"i"` // of the ask, unique at the origin
	Organisation string `json:"o"`
	Tokens       int64  `json:"t,omitempty"`
	Relayed      bool   `json:"r,omitempty"` // passed on by a host that is not the keeper; it is not passed on again
	AgeMS        int64  `json:"a,omitempty"` // of a refund: time since the charge
	// Of an answer.
	Keeper  string  `json:"p,omitempty"` // empty: the sender does not know the keeper
	Granted bool    `json:"g,omitempty"`
	WaitMS  int64   `json:"w,omitempty"` // time until there are tokens again
	Level   float64 `json:"l,omitempty"` // of the bucket, in tokens
}

func (m *message) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil { // cannot happen: all fields are plain
		return nil
	}
	return data
}
