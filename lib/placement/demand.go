package placement

import (
	"math"
	"time"
)

// Time constants of the moving averages. The short one lets a tenfold burst show within two seconds, the
// long one keeps copies through pauses of demand that are shorter than a move is worth.
const (
	ShortWindow = 2 * time.Second
	LongWindow  = 2 * time.Minute
)

// queueLifetime is the age at which a queue length no longer counts: three missed reports of one second.
const queueLifetime = 3 * time.Second

// Rates are arrival rates a second.
type Rates struct {
	Requests float64
	Prompt   float64 // tokens
	Output   float64 // tokens
}

func (r Rates) scaled(f float64) Rates {
	return Rates{r.Requests * f, r.Prompt * f, r.Output * f}
}

func (r Rates) plus(o Rates) Rates {
	return Rates{r.Requests + o.Requests, r.Prompt + o.Prompt, r.Output + o.Output}
}

// Demand is the demand for one model or adapter. The demand of a model includes that of its adapters.
type Demand struct {
	Short Rates
	Long  Rates
	Queue int // requests that wait at gateways
}

// Tracker keeps moving averages of the demand for each name. It is not safe for concurrent use.
type Tracker struct {
	names map[string]*tracked
}

type tracked struct {
	short, long Rates // sums of events weighted by age
	at          time.Time
	queues      map[string]queue // by reporter
}

type queue struct {
	length int
	at     time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{names: map[string]*tracked{}} }

// Observe counts one request for a model or adapter.
func (t *Tracker) Observe(now time.Time, name string, promptTokens, outputTokens int64) {
	t.Add(now, name, 1, promptTokens, outputTokens)
}

// Add counts requests with the sums of their tokens.
func (t *Tracker) Add(now time.Time, name string, requests, promptTokens, outputTokens int64) {
	e := t.entry(now, name)
	r := Rates{float64(requests), float64(promptTokens), float64(outputTokens)}
	e.short = e.short.plus(r.scaled(1 / ShortWindow.Seconds()))
	e.long = e.long.plus(r.scaled(1 / LongWindow.Seconds()))
}

// Queue sets the number of requests for name that wait at reporter.
func (t *Tracker) Queue(now time.Time, name, reporter string, length int) {
	e := t.entry(now, name)
	if length == 0 {
		delete(e.queues, reporter)
		return
	}
	if e.queues == nil {
		e.queues = map[string]queue{}
	}
	e.queues[reporter] = queue{length, now}
}

// Snapshot returns the demand at now and forgets names without any.
func (t *Tracker) Snapshot(now time.Time) map[string]Demand {
	out := make(map[string]Demand, len(t.names))
	for name, e := range t.names {
		e.decay(now)
		d := Demand{Short: e.short, Long: e.long}
		for reporter, q := range e.queues {
			if now.Sub(q.at) > queueLifetime {
				delete(e.queues, reporter)
				continue
			}
			d.Queue += q.length
		}
		if d.Queue == 0 && d.Long.Requests < 1e-6 {
			delete(t.names, name)
			continue
		}
		out[name] = d
	}
	return out
}

func (t *Tracker) entry(now time.Time, name string) *tracked {
	e := t.names[name]
	if e == nil {
		e = &tracked{at: now}
		t.names[name] = e
	}
	e.decay(now)
	return e
}

func (e *tracked) decay(now time.Time) {
	dt := now.Sub(e.at).Seconds()
	if dt <= 0 {
		return
	}
	e.short = e.short.scaled(math.Exp(-dt / ShortWindow.Seconds()))
	e.long = e.long.scaled(math.Exp(-dt / LongWindow.Seconds()))
	e.at = now
}
