package replay

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// maxLineBytes is the maximum length of one line of a trace.
const maxLineBytes = 1 << 20

// RecordType distinguishes requests from faults.
type RecordType string

// Types of records. An empty type means a request.
const (
	RecordRequest RecordType = "request"
	RecordFault   RecordType = "fault"
)

// Fault is the kind of a timed fault.
type Fault string

// Faults of a trace. All but FaultOrderLost and FaultOrderLate last for DurationMS; zero means until the end.
const (
	FaultTargetDown   Fault = "target_down"   // the target crashes; after the duration it restarts with empty memory
	FaultTargetSilent Fault = "target_silent" // the target accepts work and answers nothing
	FaultZoneDown     Fault = "zone_down"     // every target and entry host of the zone crashes
	FaultKVDown       Fault = "kv_down"       // the key-value service does not answer
	FaultOrderLost    Fault = "order_lost"    // the next order to the target is lost
	FaultOrderLate    Fault = "order_late"    // the next order to the target arrives DurationMS late
	FaultHostCut      Fault = "host_cut"      // the entry host is cut off from all but callers and targets
)

// Record is one line of a trace.
type Record struct {
	AtMS float64    `json:"at_ms"` // since the start of the trace
	Type RecordType `json:"type,omitempty"`

	Organisation string `json:"org,omitempty"`
	Model        string `json:"model,omitempty"`  // model or adapter
	Prompt       int64  `json:"prompt,omitempty"` // tokens
	Prefix       string `json:"prefix,omitempty"` // prompts of one prefix group share their first PrefixTokens
	PrefixTokens int64  `json:"prefix_tokens,omitempty"`
	Output       int64  `json:"output,omitempty"`      // tokens that the model generates
	MaxOutput    int64  `json:"max_output,omitempty"`  // maximum output that the caller asks for, in tokens; default: Output
	DeadlineMS   int64  `json:"deadline_ms,omitempty"` // time until the first token; default: the deployment's
	NotRepeat    bool   `json:"non_idempotent,omitempty"`
	Entry        string `json:"entry,omitempty"` // entry host; default: chosen in turn by the balancer

	Fault      Fault   `json:"fault,omitempty"`
	Target     string  `json:"target,omitempty"`
	Zone       string  `json:"zone,omitempty"`
	Host       string  `json:"host,omitempty"`
	DurationMS float64 `json:"duration_ms,omitempty"`
}

// At returns the time of the record since the start of the trace.
func (r *Record) At() time.Duration { return millis(r.AtMS) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ReadTrace reads a trace, plain or compressed by gzip, and validates it against the deployment. Records must be in
// order of time. An error names the line and the reason.
func ReadTrace(r io.Reader, d *Deployment) ([]Record, error) {
	br := bufio.NewReader(r)
	if head, _ := br.Peek(2); bytes.Equal(head, []byte{0x1f, 0x8b}) {
		zr, err := gzip.NewReader(br)
		if err != nil {
			return nil, fmt.Errorf("trace: %w; compress the file again with gzip", err)
		}
		br = bufio.NewReader(zr)
	}
	scan := bufio.NewScanner(br)
	scan.Buffer(nil, maxLineBytes)
	check := newTraceValidator(d)
	var out []Record
	line := 0
	for scan.Scan() {
		line++
		text := bytes.TrimSpace(scan.Bytes())
		if len(text) == 0 {
			continue
		}
		rec, err := parseRecord(text)
		if err == nil {
			err = check.validateRecord(&rec)
		}
		if err != nil {
			return nil, fmt.Errorf("trace line %d: %w", line, err)
		}
		out = append(out, rec)
	}
	if err := scan.Err(); err != nil {
		return nil, fmt.Errorf("trace line %d: %w; a line holds one JSON object of at most 1 MiB", line+1, err)
	}
	return out, nil
}

func parseRecord(text []byte) (Record, error) {
	var rec Record
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&rec); err != nil {
		return rec, fmt.Errorf("%w; write one JSON object with the documented fields", err)
	}
	if dec.More() {
		return rec, errors.New("more than one JSON value; write one object per line")
	}
	return rec, nil
}

// WriteTrace writes records as JSON lines.
func WriteTrace(w io.Writer, records []Record) error {
	enc := json.NewEncoder(w)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			return err
		}
	}
	return nil
}

// traceValidator validates the records of a trace in order against a deployment.
type traceValidator struct {
	deployment *Deployment
	lastAtMS   float64
	targets    map[string]bool
	zones      map[string]bool
	hosts      map[string]bool
	models     map[string]bool
	orgs       map[string]bool
}

func newTraceValidator(d *Deployment) *traceValidator {
	c := &traceValidator{
		deployment: d, targets: map[string]bool{}, zones: map[string]bool{}, hosts: map[string]bool{},
		models: map[string]bool{}, orgs: map[string]bool{},
	}
	for _, t := range d.Targets {
		c.targets[t.ID], c.zones[t.Zone] = true, true
	}
	for _, h := range d.Entries {
		c.hosts[h.ID], c.zones[h.Zone] = true, true
	}
	for _, m := range d.Models {
		c.models[m.Name] = true
	}
	for _, a := range d.Adapters {
		c.models[a.Name] = true
	}
	for _, o := range d.Organisations {
		c.orgs[o.Name] = true
	}
	return c
}

func (c *traceValidator) validateRecord(r *Record) error {
	if r.AtMS < c.lastAtMS {
		return fmt.Errorf("at_ms %v is before the line above (%v); sort the trace by time", r.AtMS, c.lastAtMS)
	}
	c.lastAtMS = r.AtMS
	switch r.Type {
	case "", RecordRequest:
		return c.validateRequest(r)
	case RecordFault:
		return c.validateFault(r)
	default:
		return fmt.Errorf("unknown type %q; use request or fault", r.Type)
	}
}

func (c *traceValidator) validateRequest(r *Record) error {
	switch {
	case !c.orgs[r.Organisation]:
		return fmt.Errorf("organisation %q is not in the deployment; add it there or correct org", r.Organisation)
	case !c.models[r.Model]:
		return fmt.Errorf("model or adapter %q is not in the deployment; add it there or correct model", r.Model)
	case r.Prompt <= 0 || r.Output <= 0:
		return errors.New("prompt and output must be at least 1 token")
	case r.PrefixTokens < 0 || r.PrefixTokens > r.Prompt:
		return errors.New("prefix_tokens must be between 0 and prompt")
	case r.MaxOutput != 0 && r.MaxOutput < r.Output:
		return errors.New("max_output is lower than output; raise it or leave it out")
	case r.DeadlineMS < 0:
		return errors.New("deadline_ms must not be negative")
	case r.Entry != "" && !c.hosts[r.Entry]:
		return fmt.Errorf("entry host %q is not in the deployment; add it there or leave entry out", r.Entry)
	}
	return nil
}

func (c *traceValidator) validateFault(r *Record) error {
	if r.DurationMS < 0 {
		return errors.New("duration_ms must not be negative")
	}
	switch r.Fault {
	case FaultTargetDown, FaultTargetSilent, FaultOrderLost, FaultOrderLate:
		if !c.targets[r.Target] {
			return fmt.Errorf("target %q is not in the deployment; add it there or correct target", r.Target)
		}
	case FaultZoneDown:
		if !c.zones[r.Zone] {
			return fmt.Errorf("availability zone %q is not in the deployment; use a zone of its targets or entries", r.Zone)
		}
	case FaultHostCut:
		if !c.hosts[r.Host] {
			return fmt.Errorf("entry host %q is not in the deployment; add it there or correct host", r.Host)
		}
	case FaultKVDown:
	default:
		return fmt.Errorf("unknown fault %q; docs/replay.md lists the faults", r.Fault)
	}
	return nil
}
