package orglimit

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "23", "")) }

// Limits of the platform: within a window, an organisation may exceed its rate and burst by the fraction overshoot and by
// slackTokens.
const (
	window      = 8 * time.Second
	overshoot   = 0.1
	slackTokens = 110_000
	step        = 10 * time.Millisecond
)

var start = time.Unix(1000, 0)

// fleet is a set of hosts that report to each other.
type fleet struct {
	hosts    []*Limiter
	isolated map[int]bool  // hosts that neither send nor receive reports
	period   time.Duration // time between two reports of a host
	now      time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{isolated: map[int]bool{}, now: start, period: 200 * time.Millisecond}
	if n > 16 {
		f.period = time.Second
	}
	for range n {
		l := New(start)
		l.SetHosts(n, f.period)
		f.hosts = append(f.hosts, l)
	}
	return f
}

// exchangeReports passes the report of each host to all others; a fraction of the reports is lost.
func (f *fleet) exchangeReports(lostFraction float64, r *rand.Rand) {
	for i, from := range f.hosts {
		report := from.Report(f.now)
		for j, to := range f.hosts {
			if i != j && !f.isolated[i] && !f.isolated[j] && r.Float64() >= lostFraction {
				to.ApplyReport(string(rune('a'+i)), uint64(i), 1, report, f.now)
			}
		}
	}
}

// offeredLoad describes the requests of all callers in one part of a test.
type offeredLoad struct {
	perSecond     float64 // tokens, over all hosts
	requestTokens int64   // mean tokens of a request
	uneven        bool    // one host gets half of the requests, and its part of the others
}

// run charges the hosts with the load for the duration d, and returns the tokens admitted and requested in each step.
func (f *fleet) run(o *catalog.Organisation, d time.Duration, load offeredLoad, lostFraction float64, r *rand.Rand) (admitted, requested []float64) {
	for t := time.Duration(0); t < d; t += step {
		f.now = f.now.Add(step)
		if t%f.period == 0 {
			f.exchangeReports(lostFraction, r)
		}
		a, q := 0.0, 0.0
		for want := load.perSecond * step.Seconds(); want > 0 && r.Float64() < want/float64(load.requestTokens); want -= float64(load.requestTokens) {
			tokens := 1 + r.Int64N(2*load.requestTokens)
			host := r.IntN(len(f.hosts))
			if load.uneven && r.IntN(2) == 0 {
				host = 0
			}
			q += float64(tokens)
			if f.hosts[host].Charge(o, tokens, f.now).Admitted {
				a += float64(tokens)
			}
		}
		admitted, requested = append(admitted, a), append(requested, q)
	}
	return admitted, requested
}

// maxWindowSum returns the largest sum of the steps in any window.
func maxWindowSum(steps []float64) float64 {
	n := int(window / step)
	sum, largest := 0.0, 0.0
	for i, x := range steps {
		sum += x
		if i >= n {
			sum -= steps[i-n]
		}
		largest = max(largest, sum)
	}
	return largest
}

func total(steps []float64) (sum float64) {
	for _, x := range steps {
		sum += x
	}
	return sum
}

// Guards against an organisation that gets more than its rate from all hosts together. Its demand is up to eight times the
// rate and may be concentrated on one host, reports are lost, and one host becomes isolated.
func TestRateLimitHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		rate := rapid.Float64Range(20_000, 300_000).Draw(rt, "rate")
		o := &catalog.Organisation{Name: "o", Rate: rate, Burst: rate}
		f := newFleet(rapid.SampledFrom([]int{1, 2, 4, 7, 8, 9, 83}).Draw(rt, "hosts"))
		lostFraction := rapid.Float64Range(0, 0.2).Draw(rt, "lost")
		load := offeredLoad{rapid.Float64Range(0.5, 8).Draw(rt, "times") * rate, 5000, rapid.Bool().Draw(rt, "uneven")}
		before, _ := f.run(o, 10*time.Second, offeredLoad{0.5 * rate, 5000, false}, lostFraction, r)
		overRate, _ := f.run(o, 10*time.Second, load, lostFraction, r)
		f.isolated[len(f.hosts)-1] = true
		afterIsolation, _ := f.run(o, 10*time.Second, load, lostFraction, r)
		limit := (rate*window.Seconds()+o.Burst)*(1+overshoot) + slackTokens
		if got := maxWindowSum(append(append(before, overRate...), afterIsolation...)); got > limit {
			rt.Fatalf("%.0f tokens were admitted in a window, limit %.0f", got, limit)
		}
	})
}

// Guards against refusals of an organisation that stays below its rate, because its requests are spread over hosts. Each
// request takes a large part of the rate. The reference is a single host, which also refuses some requests when several
// arrive close together.
func TestSevenHostsAdmitAsMuchAsOne(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		admittedFraction := func(hosts int) float64 {
			var admitted, requested float64
			for seed := range uint64(10) {
				r := rand.New(rand.NewPCG(7, seed))
				o := &catalog.Organisation{Name: "o", Rate: 29_000, Burst: 29_000}
				a, q := newFleet(hosts).run(o, 60*time.Second, offeredLoad{0.5 * o.Rate, 4000, uneven}, 0, r)
				admitted, requested = admitted+total(a), requested+total(q)
			}
			return admitted / requested
		}
		one, seven := admittedFraction(1), admittedFraction(7)
		t.Logf("uneven %v: admitted %.4f by one host, %.4f by seven", uneven, one, seven)
		if seven < one {
			t.Errorf("uneven %v: seven hosts admitted %.3f, one host %.3f", uneven, seven, one)
		}
	}
}

// Guards against an organisation whose demand exceeds its rate and that gets much less than the rate.
func TestOverloadGetsFullRate(t *testing.T) {
	r := rand.New(rand.NewPCG(8, 8))
	o := &catalog.Organisation{Name: "o", Rate: 100_000, Burst: 100_000}
	f := newFleet(7)
	const d = 30 * time.Second
	admitted, _ := f.run(o, d, offeredLoad{5 * o.Rate, 4000, true}, 0, r)
	if got := total(admitted) / d.Seconds() / o.Rate; got < 0.95 {
		t.Errorf("admitted %.3f of the rate, want at least 0.95", got)
	}
}

// Guards against a RetryAfter that is zero, unbounded, or so short that the retry is refused as well.
func TestRetryAfterIsSufficientAndBounded(t *testing.T) {
	o := &catalog.Organisation{Name: "o", Rate: 10_000, Burst: 10_000}
	l := New(start)
	now := start.Add(time.Minute)
	for l.Charge(o, 4000, now).Admitted {
	}
	decision := l.Charge(o, 4000, now)
	if decision.RetryAfter <= 0 || decision.RetryAfter > 2*time.Second {
		t.Fatalf("RetryAfter is %v, want a time of up to 2s", decision.RetryAfter)
	}
	if !l.Charge(o, 4000, now.Add(decision.RetryAfter)).Admitted {
		t.Error("refused again after RetryAfter")
	}
}

// Guards against an organisation whose demand jumps at all hosts at once and that gets more than its limit before they hear of each
// other's charges.
func TestSurgeAtAllHostsStaysWithinTheLimit(t *testing.T) {
	for _, hosts := range []int{7, 76, 300} {
		for seed := range uint64(2) {
			r := rand.New(rand.NewPCG(seed, 11))
			o := &catalog.Organisation{Name: "o", Rate: 460_000, Burst: 460_000}
			f := newFleet(hosts)
			before, _ := f.run(o, 10*time.Second, offeredLoad{0.56 * o.Rate, 9000, false}, 0, r)
			surge, _ := f.run(o, 8*time.Second, offeredLoad{6 * 0.56 * o.Rate, 9000, false}, 0, r)
			limit := o.Rate*window.Seconds() + o.Burst + 18_000 // one request of the largest size may exceed it
			if got := maxWindowSum(append(before, surge...)); got > limit {
				t.Errorf("%d hosts, seed %d: %.0f tokens were admitted in a window, limit %.0f", hosts, seed, got, limit)
			}
		}
	}
}
