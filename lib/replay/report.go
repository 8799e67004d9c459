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
	RequestsInsideRate          int            `json:"requests_inside_rate"`       // without those over the rate
	Attainment                  float64        `json:"attainment"`                 // fraction of these served in time
	AttainmentPerAccelerator    float64        `json:"attainment_per_accelerator"` // requests served in time per second
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
	TTFTP50MS                   float64        `json:"ttft_p50_ms"`
	TTFTP95MS                   float64        `json:"ttft_p95_ms"`
	TTFTP99MS                   float64        `json:"ttft_p99_ms"`
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

// tokenBucket is one token bucket with an organisation's whole rate and burst, which starts full. The report checks
// the buckets of the replayed hosts against it.
type tokenBucket struct {
	rate, burst, level float64
	refilledAt         time.Duration
}

func newTokenBucket(rate, burst int64) *tokenBucket {
	return &tokenBucket{rate: float64(rate), burst: float64(burst), level: float64(burst)}
}

func (b *tokenBucket) refill(now time.Duration) {
	b.level = math.Min(b.burst, b.level+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

func (b *tokenBucket) admit(now time.Duration, tokens int64) bool {
	b.refill(now)
	if float64(tokens) > b.level {
		return false
	}
	b.level -= float64(tokens)
	return true
}

// chargeExcess takes tokens and returns how many of them the bucket lacked.
func (b *tokenBucket) chargeExcess(now time.Duration, tokens int64) float64 {
	b.refill(now)
	b.level -= float64(tokens)
	over := math.Max(0, -b.level)
	b.level = math.Max(0, b.level)
	return over
}

// organisationCounts counts the requests of one organisation.
type organisationCounts struct {
	insideRate, attained, overRate int
}

// report completes the report from the calls of a finished replay.
func (s *sim) report() *Report {
	r := &s.result
	r.Deployment, r.Policy = s.deployment.Name, s.policy.Name
	orgs := map[string]*organisationCounts{}
	offeredBuckets := map[string]*tokenBucket{}
	for _, o := range s.deployment.Organisations {
		orgs[o.Name] = &organisationCounts{}
		offeredBuckets[o.Name] = newTokenBucket(o.Rate, o.Burst)
	}
	outside := s.outsideRate()
	r.Refusals = map[string]int{}
	attained := 0
	for _, c := range s.calls {
		r.Requests++
		o := orgs[c.rec.Organisation]
		if !offeredBuckets[c.rec.Organisation].admit(c.arrivedAt, c.chargedTokens) {
			o.overRate++
		}
		if c.refusalReason != "" {
			r.Refusals[c.refusalReason]++
		}
		if c.runs > 1 && c.rec.NonIdempotent {
			r.DuplicateRuns++
		}
		if outside[c] {
			continue
		}
		r.RequestsInsideRate++
		o.insideRate++
		if c.refusalReason != "" {
			r.RefusedInsideRate++
		}
		if c.attained(s.deployment) {
			o.attained++
			attained++
			s.ttft = append(s.ttft, c.firstTokenAt-c.arrivedAt)
		}
	}
	s.measureOverRateTokens()
	r.Attainment = ratio(attained, r.RequestsInsideRate)
	r.AttainmentPerAccelerator = roundTo4Decimals(
		float64(attained) / s.end.Seconds() / float64(s.deployment.acceleratorCount()))
	s.summariseOrganisations(orgs)
	slices.Sort(s.ttft)
	r.TTFTP50MS, r.TTFTP95MS, r.TTFTP99MS = s.ttftQuantileMS(0.5), s.ttftQuantileMS(0.95), s.ttftQuantileMS(0.99)
	r.UnreachableModelSeconds = roundTo4Decimals(r.UnreachableModelSeconds)
	return r
}

// outsideRate returns the calls that the hosts refused for exceeding the rate and that one bucket for all hosts, with
// the same charges and refunds, would have refused as well. A refused call that this bucket admits is charged to it,
// so that one wrong refusal counts once.
func (s *sim) outsideRate() map[*call]bool {
	shared := map[string]*sharedBucket{}
	for _, o := range s.deployment.Organisations {
		b := quota.NewBucket(0)
		b.Configure(0, 0, float64(o.Rate), float64(o.Burst))
		shared[o.Name] = &sharedBucket{Bucket: b}
	}
	charges := map[*call]*quota.Charge{}
	out := map[*call]bool{}
	for _, st := range s.chargeSteps() {
		b, now := shared[st.call.rec.Organisation], int64(st.at+initialBucketAge)
		b.payDebt(now)
		switch {
		case st.refund:
			if c := charges[st.call]; c != nil {
				b.Refund(now, c, st.call.usedTokens())
			}
		case st.call.refusalReason == string(refusal.RateExceeded):
			var c quota.Charge
			out[st.call] = b.debt > 0 || !b.Spend(now, st.call.chargedTokens, &c)
		default:
			charges[st.call] = b.forceCharge(now, st.call.chargedTokens)
		}
	}
	return out
}

// sharedBucket is one bucket of an organisation for all hosts. The hosts may admit a call a moment before this bucket
// has its tokens; the missing tokens become debt.
type sharedBucket struct {
	*quota.Bucket
	debt int64
}

// payDebt pays as much of the debt as tokens are available.
func (b *sharedBucket) payDebt(now int64) {
	if pay := min(b.debt, int64(b.Available(now))); pay > 0 {
		var c quota.Charge
		if b.Spend(now, pay, &c) {
			b.debt -= pay
		}
	}
}

// forceCharge charges tokens. If the bucket has debt or lacks tokens, all of them become debt, which is not refunded,
// and forceCharge returns nil.
func (b *sharedBucket) forceCharge(now, tokens int64) *quota.Charge {
	var c quota.Charge
	if b.debt == 0 && b.Spend(now, tokens, &c) {
		return &c
	}
	b.debt += tokens
	return nil
}

// chargeStep is the arrival of a call or the refund that settles its charge.
type chargeStep struct {
	at     time.Duration
	call   *call
	refund bool
}

// chargeSteps returns the charge steps of all calls in order of time.
func (s *sim) chargeSteps() []chargeStep {
	var steps []chargeStep
	for _, c := range s.calls {
		steps = append(steps, chargeStep{at: c.arrivedAt, call: c})
		if c.admittedAt >= 0 && c.refundedAt >= 0 {
			steps = append(steps, chargeStep{at: c.refundedAt, call: c, refund: true})
		}
	}
	slices.SortStableFunc(steps, func(a, b chargeStep) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// measureOverRateTokens sets OverRateTokens: the tokens used by admitted calls, in order of admission, beyond their
// organisation's rate and burst.
func (s *sim) measureOverRateTokens() {
	buckets := map[string]*tokenBucket{}
	for _, o := range s.deployment.Organisations {
		buckets[o.Name] = newTokenBucket(o.Rate, o.Burst)
	}
	admitted := slices.DeleteFunc(slices.Clone(s.calls), func(c *call) bool { return c.admittedAt < 0 })
	slices.SortStableFunc(admitted, func(a, b *call) int { return cmp.Compare(a.admittedAt, b.admittedAt) })
	total := 0.0
	for _, c := range admitted {
		total += buckets[c.rec.Organisation].chargeExcess(c.admittedAt, c.usedTokens())
	}
	s.result.OverRateTokens = int64(total + 0.5)
}

// summariseOrganisations sets the mean attainment of the organisations that stayed inside their rate, and the one with
// the lowest attainment. An organisation may exceed its rate with up to 1 % of its requests and still count.
func (s *sim) summariseOrganisations(orgs map[string]*organisationCounts) {
	s.result.WorstOrganisationAttainment = 1
	total, n := 0.0, 0
	for _, spec := range s.deployment.Organisations {
		o := orgs[spec.Name]
		if o.insideRate == 0 || o.overRate*100 > o.insideRate {
			continue
		}
		got := ratio(o.attained, o.insideRate)
		total, n = total+got, n+1
		if s.result.WorstOrganisation == "" || got < s.result.WorstOrganisationAttainment {
			s.result.WorstOrganisation, s.result.WorstOrganisationAttainment = spec.Name, got
		}
	}
	if n > 0 {
		s.result.MeanOrganisationAttainment = roundTo4Decimals(total / float64(n))
	}
}

// ttftQuantileMS returns a quantile of the time to first token in milliseconds. s.ttft must be sorted.
func (s *sim) ttftQuantileMS(q float64) float64 {
	if len(s.ttft) == 0 {
		return 0
	}
	i := min(int(math.Ceil(q*float64(len(s.ttft))))-1, len(s.ttft)-1)
	return roundTo4Decimals(float64(s.ttft[max(i, 0)]) / float64(time.Millisecond))
}

// ratio returns a/b rounded to four decimals, and 1 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return roundTo4Decimals(float64(a) / float64(b))
}

// roundTo4Decimals rounds to four decimals, so that reports do not depend on the last bits of floating-point sums.
func roundTo4Decimals(v float64) float64 { return math.Round(v*1e4) / 1e4 }
