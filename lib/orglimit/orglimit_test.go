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

// Bounds of the platform: in a window, rate and burst may be exceeded by a tenth and by a number of tokens.
const (
	window    = 8 * time.Second
	overshoot = 0.1
	slack     = 110_000
	step      = 10 * time.Millisecond
)

var start = time.Unix(1000, 0)

// fleet is hosts that report to each other.
type fleet struct {
	hosts  []*Limiter
	cut    map[int]bool  // hosts that no reports pass to or from
	period time.Duration // between two reports of a host
	now    time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{cut: map[int]bool{}, now: start, period: 200 * time.Millisecond}
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

// report lets all hosts report; a share of the reports is lost.
func (f *fleet) report(lost float64, r *rand.Rand) {
	for i, from := range f.hosts {
		report := from.Report(f.now)
		for j, to := range f.hosts {
			if i != j && !f.cut[i] && !f.cut[j] && r.Float64() >= lost {
				to.SetPeer(string(rune('a'+i)), uint64(i), report, f.now)
			}
		}
	}
}

// load is one stretch of demand.
type load struct {
	perSecond float64 // tokens, over all hosts
	size      int64   // mean tokens of a request
	uneven    bool    // one host gets half
}

// run plays the load and returns for each step the tokens admitted and asked for.
func (f *fleet) run(o *catalog.Organisation, d time.Duration, l load, lost float64, r *rand.Rand) (admitted, asked []float64) {
	for t := time.Duration(0); t < d; t += step {
		f.now = f.now.Add(step)
		if t%f.period == 0 {
			f.report(lost, r)
		}
		a, q := 0.0, 0.0
		for want := l.perSecond * step.Seconds(); want > 0 && r.Float64() < want/float64(l.size); want -= float64(l.size) {
			size := 1 + r.Int64N(2*l.size)
			host := r.IntN(len(f.hosts))
			if l.uneven && r.IntN(2) == 0 {
				host = 0
			}
			q += float64(size)
			if f.hosts[host].Take(o, size, f.now).Admitted {
				a += float64(size)
			}
		}
		admitted, asked = append(admitted, a), append(asked, q)
	}
	return admitted, asked
}

// most returns the largest sum in a window.
func most(steps []float64) float64 {
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

// Guards against an organisation that gets more than its rate from all hosts together: at many times its rate, with
// demand on one host, lost reports, and a host that is cut off.
func TestHostsTogetherKeepToTheRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		rate := rapid.Float64Range(20_000, 300_000).Draw(rt, "rate")
		o := &catalog.Organisation{Name: "o", Rate: rate, Burst: rate}
		f := newFleet(rapid.SampledFrom([]int{1, 2, 4, 7, 8, 9, 83}).Draw(rt, "hosts"))
		lost := rapid.Float64Range(0, 0.2).Draw(rt, "lost")
		l := load{rapid.Float64Range(0.5, 8).Draw(rt, "times") * rate, 5000, rapid.Bool().Draw(rt, "uneven")}
		before, _ := f.run(o, 10*time.Second, load{0.5 * rate, 5000, false}, lost, r)
		hot, _ := f.run(o, 10*time.Second, l, lost, r)
		f.cut[len(f.hosts)-1] = true
		cut, _ := f.run(o, 10*time.Second, l, lost, r)
		limit := (rate*window.Seconds()+o.Burst)*(1+overshoot) + slack
		if got := most(append(append(before, hot...), cut...)); got > limit {
			rt.Fatalf("%.0f tokens in a window, limit %.0f", got, limit)
		}
	})
}

// Guards against refusals inside the rate: small rates of which one request takes a large part, spread over hosts. One
// bucket for all requests is the standard; it refuses some too, as requests clump.
func TestNobodyIsRefusedInsideTheRate(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		share := func(hosts int) float64 {
			var admitted, asked float64
			for seed := range uint64(10) {
				r := rand.New(rand.NewPCG(7, seed))
				o := &catalog.Organisation{Name: "o", Rate: 29_000, Burst: 29_000}
				a, q := newFleet(hosts).run(o, 60*time.Second, load{0.5 * o.Rate, 4000, uneven}, 0, r)
				admitted, asked = admitted+total(a), asked+total(q)
			}
			return admitted / asked
		}
		one, seven := share(1), share(7)
		t.Logf("uneven %v: admitted %.4f by one host, %.4f by seven", uneven, one, seven)
		if seven < one {
			t.Errorf("uneven %v: seven hosts admitted %.3f, one host %.3f", uneven, seven, one)
		}
	}
}

// Guards against an organisation above its rate that gets much less than the rate.
func TestRateIsGivenOut(t *testing.T) {
	r := rand.New(rand.NewPCG(8, 8))
	o := &catalog.Organisation{Name: "o", Rate: 100_000, Burst: 100_000}
	f := newFleet(7)
	const d = 30 * time.Second
	admitted, _ := f.run(o, d, load{5 * o.Rate, 4000, true}, 0, r)
	if got := total(admitted) / d.Seconds() / o.Rate; got < 0.95 {
		t.Errorf("%.3f of the rate was given out", got)
	}
}

// Guards against a wait that is too short to be of use, or unlimited.
func TestWaitIsUseful(t *testing.T) {
	o := &catalog.Organisation{Name: "o", Rate: 10_000, Burst: 10_000}
	l := New(start)
	now := start.Add(time.Minute)
	for l.Take(o, 4000, now).Admitted {
	}
	v := l.Take(o, 4000, now)
	if v.RetryAfter <= 0 || v.RetryAfter > 2*time.Second {
		t.Fatalf("told to wait %v", v.RetryAfter)
	}
	if !l.Take(o, 4000, now.Add(v.RetryAfter)).Admitted {
		t.Error("refused again after the time stated")
	}
}
