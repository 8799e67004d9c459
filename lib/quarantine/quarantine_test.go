package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tick    = 10 * time.Millisecond
	stable  = 3 * time.Second
	downFor = 3 * time.Second
	// answering is the time from the header of an answer until it begins.
	answering = 10 * time.Millisecond
)

// fleet simulates hosts that send requests to targets and exchange reports, of which some are lost.
type fleet struct {
	random   *rand.Rand
	interval time.Duration // between two reports of a host
	now      time.Time
	hosts    []*Detector
	downTill []time.Time // by target
	starts   []int       // by target
	waiting  []request
	crashes  map[string][]time.Time // by deadly segment
	late     map[string]int         // requests sent more than stable after the fifth crash, by deadly segment
	refused  int                    // sound requests refused
	sound    int
}

type request struct {
	host, target, start int
	segments            []string
	deadly              string // the segment that crashes targets, or ""
	sentAt, beginsAt    time.Time
}

func newFleet(seed uint64, hosts, targets int, interval time.Duration) *fleet {
	f := &fleet{
		interval: interval, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		downTill: make([]time.Time, targets), starts: make([]int, targets),
		crashes: map[string][]time.Time{}, late: map[string]int{},
	}
	for range hosts {
		f.hosts = append(f.hosts, New())
	}
	return f
}

// send sends a request from a random host to the target, or to a random one if it is down or negative.
func (f *fleet) send(target int, deadly string, segments ...string) {
	host := f.random.IntN(len(f.hosts))
	if id, _ := f.hosts[host].Blocked(segments, f.now); id != "" {
		if deadly == "" {
			f.refused++
		}
		return
	}
	for range len(f.downTill) {
		if target >= 0 && !f.now.Before(f.downTill[target]) {
			break
		}
		target = f.random.IntN(len(f.downTill))
	}
	if f.now.Before(f.downTill[target]) {
		return
	}
	switch crashes := f.crashes[deadly]; {
	case deadly == "":
		f.sound++
	case len(crashes) >= 5 && f.now.Sub(crashes[4]) > stable:
		f.late[deadly]++
	}
	begins := f.now.Add(100*time.Millisecond + time.Duration(f.random.IntN(300))*time.Millisecond)
	f.waiting = append(f.waiting, request{host, target, f.starts[target], segments, deadly, f.now, begins})
}

// crash takes a target down with all that waits there.
func (f *fleet) crash(target int) {
	id := fmt.Sprintf("t%d.%d", target, f.starts[target])
	for _, r := range f.waiting {
		if r.target == target && r.start == f.starts[target] {
			inAnswer := !f.now.Before(r.beginsAt.Add(-answering))
			f.hosts[r.host].Crashed(Waiting{
				Segments: r.segments, Target: id, Addr: fmt.Sprint(target), SentAt: r.sentAt, Answering: inAnswer,
			}, f.now, f.now)
		}
	}
	f.starts[target]++
	f.downTill[target] = f.now.Add(downFor)
}

// step begins answers and exchanges reports.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	var left []request
	for _, r := range f.waiting {
		switch {
		case r.start != f.starts[r.target]:
		case f.now.Before(r.beginsAt):
			left = append(left, r)
		case r.deadly != "":
			f.crashes[r.deadly] = append(f.crashes[r.deadly], f.now)
			f.crash(r.target)
		default:
			f.hosts[r.host].Began(r.segments, f.now.Sub(r.sentAt), answering, f.now)
		}
	}
	f.waiting = left
	if f.now.UnixNano()%int64(f.interval) != 0 {
		return
	}
	for i, h := range f.hosts {
		h.Judge(f.now, 2*f.interval)
		r, o := h.Report(f.now), h.Outcomes(f.now)
		for j, other := range f.hosts {
			if i != j && f.random.Float64() > 0.05 {
				other.Merge(r, f.now)
				other.SetPeerOutcomes(fmt.Sprint(i), &o)
			}
		}
	}
}

// often reports whether something that happens at the rate a second happens in this step.
func (f *fleet) often(rate float64) bool { return f.random.Float64() < rate*tick.Seconds() }

// Guards against one target after the other crashing under requests that share a segment, and against refusing sound requests
// that share their other segments.
func TestSegmentThatCrashesTargetsIsQuarantined(t *testing.T) {
	for _, c := range []struct {
		hosts, targets int
		deadly, sound  float64 // requests a second
		interval       time.Duration
	}{
		{7, 9, 1, 40, 200 * time.Millisecond},
		{7, 13, 2, 60, 200 * time.Millisecond},
		{20, 60, 8, 200, 200 * time.Millisecond},
		{7, 13, 0.3, 60, 200 * time.Millisecond},
		{3, 4, 0.3, 1, 200 * time.Millisecond},
		{7, 9, 20, 40, 200 * time.Millisecond},
		{20, 60, 60, 200, 200 * time.Millisecond},
		{40, 90, 60, 300, 900 * time.Millisecond},
	} {
		for _, seed := range []uint64{0, 1, 10} {
			f := newFleet(seed, c.hosts, c.targets, c.interval)
			for range int(90 * time.Second / tick) {
				if f.often(c.sound) {
					f.send(-1, "", "all", fmt.Sprint("subject", f.random.IntN(20)))
				}
				if f.often(c.deadly) {
					f.send(-1, "deadly", "all", "subject7", "deadly")
				}
				f.step()
			}
			if len(f.crashes["deadly"]) < 3 || f.late["deadly"] > 3 || f.refused > 0 || f.sound == 0 {
				t.Errorf("%+v, seed %d: %d crashes, %d requests with the segment late, %d of %d sound ones refused",
					c, seed, len(f.crashes["deadly"]), f.late["deadly"], f.refused, f.sound)
			}
			f.hosts[0] = New()
			for range 2 * c.interval / tick {
				f.step()
			}
			if id, _ := f.hosts[0].Blocked([]string{"all", "deadly", "x"}, f.now); id != "deadly" {
				t.Errorf("%+v, seed %d: a host that restarted blocks %q", c, seed, id)
			}
		}
	}
}

// Guards against a segment that goes on crashing targets because another one does so at the same time.
func TestSeveralSegmentsThatCrashTargetsAreQuarantined(t *testing.T) {
	for _, c := range []struct {
		hosts, targets int
		sound          float64 // requests a second
		interval       time.Duration
		deadly         []float64 // requests a second, by segment
	}{
		{7, 9, 60, 200 * time.Millisecond, []float64{8, 2}},
		{7, 13, 60, 200 * time.Millisecond, []float64{3, 3, 3}},
		{7, 13, 60, 200 * time.Millisecond, []float64{20, 1, 4}},
		{20, 60, 200, 200 * time.Millisecond, []float64{20, 5, 2, 1}},
		{40, 90, 300, 900 * time.Millisecond, []float64{30, 10, 3}},
	} {
		for seed := range uint64(5) {
			f := newFleet(seed, c.hosts, c.targets, c.interval)
			for range int(30 * time.Second / tick) {
				if f.often(c.sound) {
					f.send(-1, "", "all", fmt.Sprint("subject", f.random.IntN(20)))
				}
				for i, rate := range c.deadly {
					if id := fmt.Sprint("deadly", i); f.often(rate) {
						f.send(-1, id, "all", fmt.Sprint("subject", i), id)
					}
				}
				f.step()
			}
			for id, late := range f.late {
				if late > 3 || f.refused > 0 {
					t.Errorf("%+v, seed %d: %d requests with %s late of %d crashes, %d of %d sound ones refused",
						c, seed, late, id, len(f.crashes[id]), f.refused, f.sound)
				}
			}
		}
	}
}

// Guards against refusing sound requests because targets crash for other reasons: all at once, or the same ones again and again.
func TestCrashesOfTargetsQuarantineNothing(t *testing.T) {
	for name, crash := range map[string]func(f *fleet, i int){
		"all at once": func(f *fleet, i int) {
			for target := range f.downTill {
				if i%500 == 0 {
					f.crash(target)
				}
			}
		},
		"two targets, again and again": func(f *fleet, i int) {
			if i%320 == 0 {
				f.crash(0)
				f.crash(1)
			}
		},
		"one after the other": func(f *fleet, i int) {
			if i%40 == 0 {
				f.crash(i / 40 % len(f.downTill))
			}
		},
	} {
		for _, seed := range []uint64{0, 1, 10} {
			f := newFleet(seed, 7, 9, 200*time.Millisecond)
			for i := range int(60 * time.Second / tick) {
				if f.often(60) {
					n := f.random.IntN(40)
					f.send(n%len(f.downTill), "", "all", fmt.Sprint("subject", n), fmt.Sprint("new", i/90))
				}
				crash(f, i)
				f.step()
			}
			if ids := f.hosts[0].Quarantined(f.now); len(ids) > 0 {
				t.Errorf("%s, seed %d: %d segments in quarantine, %v first", name, seed, len(ids), ids[0])
			}
		}
	}
}

// Guards against a quarantine that never ends.
func TestQuarantineEnds(t *testing.T) {
	d, now := New(), time.Unix(1000, 0)
	d.Restore([]string{"a"}, now)
	if id, left := d.Blocked([]string{"x", "a"}, now.Add(Period/2)); id != "a" || left != Period/2 {
		t.Errorf("%q for %s", id, left)
	}
	if id, _ := d.Blocked([]string{"a"}, now.Add(Period)); id != "" {
		t.Errorf("%q after its period", id)
	}
}

// Guards against a segment that takes down several targets again each time its quarantine ends, and against one that stays under
// suspicion although it is sound by now.
func TestSegmentThatRelapsesIsQuarantinedAtOnce(t *testing.T) {
	for _, sound := range []bool{false, true} {
		d, now := New(), time.Unix(1000, 0)
		d.Restore([]string{"a"}, now)
		now = now.Add(Period)
		d.Judge(now, 0)
		if sound {
			d.Began([]string{"a"}, time.Second, 0, now)
		}
		now = now.Add(time.Second)
		d.Crashed(Waiting{Segments: []string{"a"}, Target: "t", Addr: "t", SentAt: now, Answering: true}, now, now)
		if verdicts := d.Judge(now, time.Second); (len(verdicts) == 0) != sound {
			t.Errorf("sound by now %t: %v", sound, verdicts)
		}
	}
}

// Guards against a segment that crashes the same two targets again and again, as each starts again under the id that it had.
func TestCrashesOfTargetsThatKeepTheirIDsCount(t *testing.T) {
	d, now := New(), time.Unix(1000, 0)
	for i := range 4 {
		target := fmt.Sprint("t", i%2)
		sent := now
		now = now.Add(time.Second)
		d.Crashed(Waiting{
			Segments: []string{"deadly"}, Target: target, Started: int64(1000 + i/2), Addr: target, SentAt: sent, Answering: true,
		}, now, now)
		now = now.Add(2 * time.Second)
	}
	if verdicts := d.Judge(now, time.Second); len(verdicts) != 1 {
		t.Errorf("after four crashes of two targets: %v", verdicts)
	}
}

// Guards against refusing sound requests that share a segment with deadly ones: those that were on their way when the deadly segment went
// into quarantine go on crashing targets.
func TestCompanionsOfAQuarantinedSegmentAreNotSuspected(t *testing.T) {
	d, now := New(), time.Unix(1000, 0)
	d.Restore([]string{"deadly"}, now)
	for i := range 60 {
		target := fmt.Sprint("t", i)
		d.Crashed(Waiting{
			Segments: []string{"companion", "deadly"}, Target: target, Addr: target, SentAt: now, Answering: true,
		}, now.Add(10*time.Millisecond), now.Add(10*time.Millisecond))
		now = now.Add(20 * time.Millisecond)
	}
	if verdicts := d.Judge(now.Add(time.Second), time.Second); len(verdicts) > 0 {
		t.Errorf("%v", verdicts)
	}
}

// Guards against refusing a sound segment everywhere because one host, which heard of no answer on it, judged targets that crashed together.
func TestVerdictOfOneHostAgainstAnAnsweredSegmentIsReleased(t *testing.T) {
	now := time.Unix(1000, 0)
	judge, witness, other := New(), New(), New()
	for range 100 {
		judge.Began([]string{"another"}, 300*time.Millisecond, time.Millisecond, now)
	}
	for i := range 6 {
		judge.Crashed(Waiting{
			Segments: []string{"sound", fmt.Sprint("own", i)}, Target: fmt.Sprint("t", i), Addr: fmt.Sprint("a", i),
			SentAt: now.Add(-300 * time.Millisecond), Answering: true,
		}, now, now)
	}
	now = now.Add(time.Second)
	witness.Began([]string{"sound"}, 300*time.Millisecond, answering, now)
	now = now.Add(time.Second)
	if v := judge.Judge(now, time.Second); len(v) == 0 || v[0].Segment != "sound" {
		t.Fatalf("verdicts %v", v)
	}
	verdict := judge.Report(now)
	other.Merge(verdict, now)
	witness.Merge(verdict, now)
	answer := witness.Report(now)
	judge.Merge(answer, now)
	other.Merge(answer, now)
	judge.Merge(verdict, now) // another host repeats it
	for name, d := range map[string]*Detector{"judge": judge, "witness": witness, "other": other} {
		if id, _ := d.Blocked([]string{"sound"}, now); id != "" {
			t.Errorf("%s refuses the segment", name)
		}
		if got := d.Released(); len(got) != 1 {
			t.Errorf("%s released %v", name, got)
		}
		d.Restore([]string{"sound"}, now)
		if id, _ := d.Blocked([]string{"sound"}, now); id != "" {
			t.Errorf("%s refuses the segment that the store still holds", name)
		}
	}
}
