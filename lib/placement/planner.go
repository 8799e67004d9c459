package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the planner's thresholds. Utilisation is the share of a target's time that is used.
type Config struct {
	High          float64       // least utilisation over a model's targets above which it gets another copy
	Low           float64       // utilisation that the remaining copies may reach when one is removed
	Gain          float64       // a new copy must go to a target whose utilisation is lower by this much
	Rising        float64       // head-room factor while the short-term demand is over twice the long-term one
	QueueDrain    time.Duration // time in which queued requests shall be worked off
	MinResidence  time.Duration // a copy loaded for demand stays this long
	AdapterIdle   float64       // long-term requests a second below which an adapter counts as idle
	PrefillRate   float64       // tokens a second, for targets of unknown rate
	DecodeRate    float64       // tokens a second, for targets of unknown rate
	QueuedPrompt  float64       // tokens of a queued request of a model without history
	QueuedOutput  float64       // tokens of a queued request of a model without history
	SpareInFlight int           // loads in flight from which no copies for a second zone are started
}

// DefaultConfig returns the thresholds in use. High and Low lie apart so that a removed copy is not
// wanted again at the same demand. Rising makes up for the short average, which shows 40% of a jump a
// second after it.
func DefaultConfig() Config {
	return Config{
		High: 0.8, Low: 0.45, Gain: 0.57, Rising: 1.5, QueueDrain: 5 * time.Second, MinResidence: 30 * time.Second,
		AdapterIdle: 0.01, PrefillRate: 8000, DecodeRate: 2000, QueuedPrompt: 500, QueuedOutput: 200,
		SpareInFlight: 1,
	}
}

// Planner plans loads and unloads. It keeps only the pacing of the weight store between plans and is
// not safe for concurrent use.
type Planner struct {
	cfg    Config
	tokens float64 // model loads that may start now
	at     time.Time
}

// New returns a planner.
func New(cfg Config) *Planner { return &Planner{cfg: cfg} }

// Plan returns the actions to start now, most urgent first. Every action keeps to the memory that is
// free at this moment; an unload that makes room is planned before the load that needs it.
func (p *Planner) Plan(in *Input) []Action {
	w := p.newWorld(in)
	p.refill(in)
	w.budget = p.budget(in, w)
	w.ahead = w.budget + max(1, in.Limits.FullSpeedLoads)
	start := w.budget
	w.tidy()
	w.restore()
	w.scale()
	w.adapters(in)
	w.spread()
	p.tokens -= float64(start - w.budget)
	slices.SortStableFunc(w.actions, func(a, b Action) int { return cmp.Compare(a.Priority, b.Priority) })
	return w.actions
}

// refill adds the loads that the store's rate allows since the last plan.
func (p *Planner) refill(in *Input) {
	burst := math.Max(1, in.Limits.LoadsPerSecond)
	if p.at.IsZero() {
		p.tokens = burst
	} else {
		p.tokens = math.Min(burst, p.tokens+in.Now.Sub(p.at).Seconds()*in.Limits.LoadsPerSecond)
	}
	p.at = in.Now
}

// budget returns how many model loads may start. More than the full-speed limit would slow all of them.
func (p *Planner) budget(in *Input, w *world) int {
	free := max(1, in.Limits.FullSpeedLoads) - w.inFlight
	return max(0, min(free, int(p.tokens+1e-9)))
}
