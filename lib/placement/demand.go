package placement

import (
	"math"
	"time"
)

// Time constants of the moving averages. The short one makes a tenfold burst visible within two seconds. The long one
// keeps copies loaded through pauses of demand that are too short to make an unload and a new load worthwhile.
const (
	ShortTimeConstant = 2 * time.Second
	LongTimeConstant  = 2 * time.Minute
)

// queueReportTTL is the age above which a queue length no longer counts: three missed reports at one a second.
const queueReportTTL = 3 * time.Second

// Rates are arrival rates per second.
type Rates struct {
	Requests     float64
	PromptTokens float64
	OutputTokens float64
}

func (r Rates) scaled(f float64) Rates {
	return Rates{r.Requests * f, r.PromptTokens * f, r.OutputTokens * f}
}

func (r Rates) plus(o Rates) Rates {
	return Rates{r.Requests + o.Requests, r.PromptTokens + o.PromptTokens, r.OutputTokens + o.OutputTokens}
}

// Demand is the demand for one model or adapter. The demand of a model includes that of its adapters.
type Demand struct {
	Short       Rates // moving average with time constant ShortTimeConstant
	Long        Rates // moving average with time constant LongTimeConstant
	QueueLength int   // requests that wait at gateways
}

// Tracker keeps the demand for each model and adapter as moving averages. It is not safe for concurrent use.
type Tracker struct {
	names map[string]*trackedDemand
}

// trackedDemand is the demand for one name.
type trackedDemand struct {
	short, long Rates                  // moving averages as of updatedAt
	updatedAt   time.Time              // when the averages last decayed
	queues      map[string]queueReport // by reporter
}

// queueReport is the queue length that a reporter last sent.
type queueReport struct {
	length     int
	reportedAt time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{names: map[string]*trackedDemand{}} }

// Observe counts one request for a model or adapter.
func (t *Tracker) Observe(now time.Time, name string, promptTokens, outputTokens int64) {
	t.Add(now, name, 1, promptTokens, outputTokens)
}

// Add counts requests with the sums of their tokens.
func (t *Tracker) Add(now time.Time, name string, requests, promptTokens, outputTokens int64) {
	e := t.entry(now, name)
	r := Rates{float64(requests), float64(promptTokens), float64(outputTokens)}
	e.short = e.short.plus(r.scaled(1 / ShortTimeConstant.Seconds()))
	e.long = e.long.plus(r.scaled(1 / LongTimeConstant.Seconds()))
}

// SetQueueLength sets the number of requests for name that wait at reporter. It expires after queueReportTTL.
func (t *Tracker) SetQueueLength(now time.Time, name, reporter string, length int) {
	e := t.entry(now, name)
	if length == 0 {
		delete(e.queues, reporter)
		return
	}
	if e.queues == nil {
		e.queues = map[string]queueReport{}
	}
	e.queues[reporter] = queueReport{length, now}
}

// Snapshot returns the demand at now and deletes names without any.
func (t *Tracker) Snapshot(now time.Time) map[string]Demand {
	out := make(map[string]Demand, len(t.names))
	for name, e := range t.names {
		e.decay(now)
		d := Demand{Short: e.short, Long: e.long}
		for reporter, q := range e.queues {
			if now.Sub(q.reportedAt) > queueReportTTL {
				delete(e.queues, reporter)
				continue
			}
			d.QueueLength += q.length
		}
		if d.QueueLength == 0 && d.Long.Requests < 1e-6 {
			delete(t.names, name)
			continue
		}
		out[name] = d
	}
	return out
}

// entry returns the demand for name, decayed to now, and creates it if there is none.
func (t *Tracker) entry(now time.Time, name string) *trackedDemand {
	e := t.names[name]
	if e == nil {
		e = &trackedDemand{updatedAt: now}
		t.names[name] = e
	}
	e.decay(now)
	return e
}

// decay brings the averages to now, as if no requests had arrived since updatedAt.
func (e *trackedDemand) decay(now time.Time) {
	dt := now.Sub(e.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	e.short = e.short.scaled(math.Exp(-dt / ShortTimeConstant.Seconds()))
	e.long = e.long.scaled(math.Exp(-dt / LongTimeConstant.Seconds()))
	e.updatedAt = now
}
