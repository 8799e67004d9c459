package replay

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"cuminhook.org/cuminhook/lib/quota"
	"cuminhook.org/cuminhook/lib/refusal"
)

// Report is the result of one replay.
type Report struct {
	Deployment                  string         `json:"deployment"`
	Policy                      string         `json:"policy"`
	Trace                       string         `json:"trace"`
	Load                        float64        `json:"load,omitempty"`
	Requests                    int            `json:"requests"`
	InsideRate                  int            `json:"requests_inside_rate"`       // all but those rightly refused for the rate
	Attainment                  float64        `json:"attainment"`                 // share of the requests inside the rate
	AttainmentPerAccelerator    float64        `json:"attainment_per_accelerator"` // attained requests a second
	Moves                       int            `json:"moves"`                      // model loads after the start
	AdapterLoads                int            `json:"adapter_loads"`
	WorstOrganisation           string         `json:"worst_organisation"` // among those that stay inside their rate
	WorstOrganisationAttainment float64        `json:"worst_organisation_attainment"`
	MeanOrganisationAttainment  float64        `json:"mean_organisation_attainment"`
	RefusedInsideRate           int            `json:"refused_inside_rate"`
	OverRateTokens              int64          `json:"over_rate_tokens"`
	MemoryOvercommitEvents      int            `json:"memory_overcommit_events"`
	UnreachableModelSeconds     float64        `json:"unreachable_model_seconds"`
	DuplicateRuns               int            `json:"duplicate_runs"`
	TTFTP50                     float64        `json:"ttft_p50_ms"`
	TTFTP95                     float64        `json:"ttft_p95_ms"`
	TTFTP99                     float64        `json:"ttft_p99_ms"`
	Refusals                    map[string]int `json:"refusals,omitempty"` // by reason
}

// JSON returns the report as one line.
func (r *Report) JSON() string {
	line, err := json.Marshal(r)
	if err != nil {
		panic(err) // the type has no field that can fail
	}
	return string(line)
}

// reference is a single token bucket with an organisation's rate and burst.
type reference struct {
	rate, burst, level float64
	at                 time.Duration
}

func newReference(rate, burst int64) *reference {
	return &reference{rate: float64(rate), burst: float64(burst), level: float64(burst)}
}

func (b *reference) refill(now time.Duration) {
	b.level = math.Min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

func (b *reference) admits(now time.Duration, tokens int64) bool {
	b.refill(now)
	if float64(tokens) > b.level {
		return false
	}
	b.level -= float64(tokens)
	return true
}

// excess takes tokens and returns how many were above the rate and burst.
func (b *reference) excess(now time.Duration, tokens int64) float64 {
	b.refill(now)
	b.level -= float64(tokens)
	over := math.Max(0, -b.level)
	b.level = math.Max(0, b.level)
	return over
}

// organisation counts the requests of one organisation.
type organisation struct {
	inside, attained, overRate int
}

// report sums up the calls of a finished replay.
func (s *sim) report() *Report {
	r := &s.out
	r.Deployment, r.Policy = s.d.Name, s.policy.Name
	orgs := map[string]*organisation{}
	offered := map[string]*reference{}
	for _, o := range s.d.Organisations {
		orgs[o.Name] = &organisation{}
		offered[o.Name] = newReference(o.Rate, o.Burst)
	}
	outside := s.outsideRate()
	r.Refusals = map[string]int{}
	attained := 0
	for _, c := range s.calls {
		r.Requests++
		o := orgs[c.rec.Organisation]
		if !offered[c.rec.Organisation].admits(c.arrived, c.charge) {
			o.overRate++
		}
		if c.refused != "" {
			r.Refusals[c.refused]++
		}
		if c.runs > 1 && c.rec.NotRepeat {
			r.DuplicateRuns++
		}
		if outside[c] {
			continue
		}
		r.InsideRate++
		o.inside++
		if c.refused != "" {
			r.RefusedInsideRate++
		}
		if c.attained(s.d) {
			o.attained++
			attained++
			s.ttft = append(s.ttft, c.first-c.arrived)
		}
	}
	s.spending()
	r.Attainment = ratio(attained, r.InsideRate)
	r.AttainmentPerAccelerator = round(float64(attained) / s.end.Seconds() / float64(s.d.accelerators()))
	s.worst(orgs)
	slices.Sort(s.ttft)
	r.TTFTP50, r.TTFTP95, r.TTFTP99 = s.quantile(0.5), s.quantile(0.95), s.quantile(0.99)
	r.UnreachableModelSeconds = round(r.UnreachableModelSeconds)
	return r
}

// outsideRate finds the calls that were refused for their organisation's rate and that one bucket for all hosts,
// charged and refunded as the hosts were, would have refused too. A call that it would have admitted is charged to
// it, so that one missed request counts once.
func (s *sim) outsideRate() map[*call]bool {
	shared := map[string]*sharedBucket{}
	for _, o := range s.d.Organisations {
		b := quota.NewBucket(0)
		b.Configure(0, 0, float64(o.Rate), float64(o.Burst))
		shared[o.Name] = &sharedBucket{Bucket: b}
	}
	charges := map[*call]*quota.Charge{}
	out := map[*call]bool{}
	for _, st := range s.chargeSteps() {
		b, now := shared[st.c.rec.Organisation], int64(st.at+warmStart)
		b.payDebt(now)
		switch {
		case st.refund:
			if c := charges[st.c]; c != nil {
				b.Refund(now, c, st.c.used())
			}
		case st.c.refused == string(refusal.RateExceeded):
			var c quota.Charge
			out[st.c] = b.debt > 0 || !b.Spend(now, st.c.charge, &c)
		default:
			charges[st.c] = b.force(now, st.c.charge)
		}
	}
	return out
}

// sharedBucket is the bucket of one organisation, shared by all hosts. The hosts may admit a call a moment before
// this bucket has its tokens; they are then owed.
type sharedBucket struct {
	*quota.Bucket
	debt int64
}

func (b *sharedBucket) payDebt(now int64) {
	if pay := min(b.debt, int64(b.Available(now))); pay > 0 {
		var c quota.Charge
		if b.Spend(now, pay, &c) {
			b.debt -= pay
		}
	}
}

// force charges tokens, as debt where the bucket lacks them. Debt is not refunded.
func (b *sharedBucket) force(now, tokens int64) *quota.Charge {
	var c quota.Charge
	if b.debt == 0 && b.Spend(now, tokens, &c) {
		return &c
	}
	b.debt += tokens
	return nil
}

// chargeStep is the arrival of a call or the end of its charge.
type chargeStep struct {
	at     time.Duration
	c      *call
	refund bool
}

func (s *sim) chargeSteps() []chargeStep {
	var steps []chargeStep
	for _, c := range s.calls {
		steps = append(steps, chargeStep{at: c.arrived, c: c})
		if c.admitted >= 0 && c.closed >= 0 {
			steps = append(steps, chargeStep{at: c.closed, c: c, refund: true})
		}
	}
	slices.SortStableFunc(steps, func(a, b chargeStep) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// spending checks the actual use of admitted requests, in order of admission, against rate and burst.
func (s *sim) spending() {
	spent := map[string]*reference{}
	for _, o := range s.d.Organisations {
		spent[o.Name] = newReference(o.Rate, o.Burst)
	}
	admitted := slices.DeleteFunc(slices.Clone(s.calls), func(c *call) bool { return c.admitted < 0 })
	slices.SortStableFunc(admitted, func(a, b *call) int { return cmp.Compare(a.admitted, b.admitted) })
	total := 0.0
	for _, c := range admitted {
		total += spent[c.rec.Organisation].excess(c.admitted, c.used())
	}
	s.out.OverRateTokens = int64(total + 0.5)
}

// worst finds the organisation with the lowest attainment among those that stayed inside their rate; up to one
// request in a hundred outside it is taken as staying inside.
func (s *sim) worst(orgs map[string]*organisation) {
	s.out.WorstOrganisationAttainment = 1
	total, n := 0.0, 0
	for _, spec := range s.d.Organisations {
		o := orgs[spec.Name]
		if o.inside == 0 || o.overRate*100 > o.inside {
			continue
		}
		got := ratio(o.attained, o.inside)
		total, n = total+got, n+1
		if s.out.WorstOrganisation == "" || got < s.out.WorstOrganisationAttainment {
			s.out.WorstOrganisation, s.out.WorstOrganisationAttainment = spec.Name, got
		}
	}
	if n > 0 {
		s.out.MeanOrganisationAttainment = round(total / float64(n))
	}
}

func (s *sim) quantile(q float64) float64 {
	if len(s.ttft) == 0 {
		return 0
	}
	i := min(int(math.Ceil(q*float64(len(s.ttft))))-1, len(s.ttft)-1)
	return round(float64(s.ttft[max(i, 0)]) / float64(time.Millisecond))
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return round(float64(a) / float64(b))
}

// round keeps four decimals, so that reports do not depend on the last bits of floating-point sums.
func round(v float64) float64 { return math.Round(v*1e4) / 1e4 }
