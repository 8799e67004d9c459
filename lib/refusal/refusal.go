// Package refusal defines the errors with which requests of callers and operators are refused.
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Reason is a machine-readable code for the cause of a refusal. Codes are part of the API and don't change.
type Reason string

// Refusal reasons.
const (
	KeyMissing             Reason = "key_missing"
	KeyUnknown             Reason = "key_unknown"
	ConfigStale            Reason = "config_stale"
	Starting               Reason = "starting"
	BadRequest             Reason = "bad_request"
	BodyTooLarge           Reason = "body_too_large"
	RequestTimeout         Reason = "request_timeout"
	NotFound               Reason = "not_found"
	ModelUnknown           Reason = "model_unknown"
	NotAllowed             Reason = "not_allowed"
	RateExceeded           Reason = "rate_exceeded"
	BurstTooSmall          Reason = "burst_too_small"
	DeadlineUnreachable    Reason = "deadline_unreachable"
	QueueFull              Reason = "queue_full"
	NoTarget               Reason = "no_target"
	NoPath                 Reason = "no_path" // the host is cut off from the targets
	ZonesEvacuated         Reason = "zones_evacuated"
	RegionNotAllowed       Reason = "region_not_allowed"
	TargetFailed           Reason = "target_failed"
	TargetTimeout          Reason = "target_timeout"
	StreamBroken           Reason = "stream_broken"
	PromptQuarantined      Reason = "prompt_quarantined"
	RequestQuarantined     Reason = "request_quarantined"
	StreamVersionGone      Reason = "stream_version_gone"
	Stopping               Reason = "stopping"
	InProgress             Reason = "in_progress"
	OutcomeUnknown         Reason = "outcome_unknown"
	IdempotencyKeyReused   Reason = "idempotency_key_reused"
	IdempotencyUnconfirmed Reason = "idempotency_unconfirmed"
	CallerGone             Reason = "caller_gone" // only logged: the caller has closed the connection
	Internal               Reason = "internal"

	TicketInvalid    Reason = "ticket_invalid"
	TicketTooLarge   Reason = "ticket_too_large"
	NumberReused     Reason = "number_reused"
	NumberTooOld     Reason = "number_too_old"
	Superseded       Reason = "superseded"
	NoMajority       Reason = "no_majority"
	StoreUnavailable Reason = "store_unavailable"
)

// RunState says whether the refused request may have run at a target.
type RunState string

// Run states. NotRun means that certainly no target has run the request.
const (
	NotRun     RunState = "not_run"
	RunUnknown RunState = "unknown"
)

// Error is a refusal. Callers and operators receive its fields as JSON.
type Error struct {
	Reason     Reason
	Run        RunState
	Status     int           // HTTP status code
	Message    string        // what happened
	Remedy     string        // what the caller or operator can do
	RetryAfter time.Duration // delay before a retry; zero if waiting doesn't help
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", e.Reason, e.Run, e.Message, e.Remedy)
}

// As returns the first refusal in the chain of err, and whether there is one.
func As(err error) (*Error, bool) {
	var r *Error
	ok := errors.As(err, &r)
	return r, ok
}
