package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// requestFleet simulates hosts that send plain requests to the targets of a service and exchange reports, of which some are lost. A
// client sends a request up to clientTries times, and a host each of these up to hostTries times.
type requestFleet struct {
	random   *rand.Rand
	now      time.Time
	interval time.Duration
	hosts    []*Requests
	downTill []time.Time // by target
	starts   []int       // by target
	runs     []*requestRun
	crashes  map[string][]time.Time // by deadly request
	late     map[string]int         // runs sent more than stable after the third crash, by deadly request
	refused  int                    // sound requests refused
	served   int
	lost     int // runs of sound requests
}

type requestRun struct {
	name                string
	host, target, tries int // tries left, of the client and of the host
	sentAt, endsAt      time.Time
}

const (
	clientTries = 2
	hostTries   = 2
)

func newRequestFleet(seed uint64, hosts, targets int, interval time.Duration) *requestFleet {
	f := &requestFleet{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), interval: interval, downTill: make([]time.Time, targets),
		starts: make([]int, targets), crashes: map[string][]time.Time{}, late: map[string]int{},
	}
	for range hosts {
		f.hosts = append(f.hosts, f.newHost())
	}
	return f
}

func (f *requestFleet) newHost() *Requests {
	d := NewRequests()
	d.SetTargets(f.targets(), f.now)
	return d
}

// targets returns the incarnations of the targets that are up.
func (f *requestFleet) targets() map[string][]string {
	var up []string
	for target, start := range f.starts {
		if !f.now.Before(f.downTill[target]) {
			up = append(up, fmt.Sprintf("t%d.%d", target, start))
		}
	}
	return map[string][]string{"s": up}
}

func isDeadly(name string) bool { return name[0] == 'd' }

func keyOf(name string) RequestKey { return KeyOfRequest("o", []byte("GET"), []byte(name), nil) }

// send begins a run. Requests whose names begin with d are deadly.
func (f *requestFleet) send(name string, host, tries int) {
	if tries%hostTries == 0 {
		host = f.random.IntN(len(f.hosts))
	} else if f.hosts[host].Suspected(keyOf(name)) {
		return
	}
	if f.hosts[host].Blocked(keyOf(name), f.now) > 0 {
		if !isDeadly(name) {
			f.refused++
		}
		return
	}
	target := f.random.IntN(len(f.downTill))
	for range len(f.downTill) {
		if !f.now.Before(f.downTill[target]) {
			break
		}
		target = (target + 1) % len(f.downTill)
	}
	if f.now.Before(f.downTill[target]) {
		return
	}
	if crashes := f.crashes[name]; len(crashes) >= 3 && f.now.Sub(crashes[2]) > stable {
		f.late[name]++
	}
	lasts := 20*time.Millisecond + time.Duration(f.random.IntN(100))*time.Millisecond
	f.runs = append(f.runs, &requestRun{name, host, target, tries - 1, f.now, f.now.Add(lasts)})
}

// crash takes a target down with all that runs there. What was lost is sent again.
func (f *requestFleet) crash(target int) {
	runs := f.runs
	f.runs = nil
	f.downTill[target] = f.now.Add(downFor)
	for _, r := range runs {
		if r.target != target {
			f.runs = append(f.runs, r)
			continue
		}
		f.hosts[r.host].Crashed(Lost{
			Key: keyOf(r.name), Service: "s", Target: fmt.Sprintf("t%d.%d", target, f.starts[target]), Addr: fmt.Sprint(target), SentAt: r.sentAt,
		}, f.now, f.now)
		if !isDeadly(r.name) {
			f.lost++
		}
		if r.tries > 0 {
			f.send(r.name, r.host, r.tries)
		}
	}
	f.starts[target]++
}

func (f *requestFleet) step() {
	f.now = f.now.Add(tick)
	for again := true; again; {
		again = false
		for i, r := range f.runs {
			if f.now.Before(r.endsAt) {
				continue
			}
			if again = true; isDeadly(r.name) {
				f.crashes[r.name] = append(f.crashes[r.name], f.now)
				f.crash(r.target)
			} else {
				f.hosts[r.host].Survived(keyOf(r.name), nil, "s", f.now.Sub(r.sentAt), f.now)
				f.served++
				f.runs = append(f.runs[:i:i], f.runs[i+1:]...)
			}
			break
		}
	}
	if f.now.UnixNano()%int64(f.interval) == 0 {
		f.exchange()
	}
}

func (f *requestFleet) exchange() {
	for i, h := range f.hosts {
		h.SetTargets(f.targets(), f.now)
		h.Judge(f.now, 2*f.interval)
		r := h.Report(f.now)
		for j, other := range f.hosts {
			if i != j && f.random.Float64() > 0.05 {
				other.Merge(r, f.now)
			}
		}
	}
}

// often reports whether something that happens at the rate a second happens in this step.
func (f *requestFleet) often(rate float64) bool { return f.random.Float64() < rate*tick.Seconds() }

// play has sound requests, some of which come again all the time, deadly ones and crashes of targets for other reasons come at rates a second.
func (f *requestFleet) play(length time.Duration, sound, crashes float64, deadly ...float64) {
	for n := range int(length / tick) {
		if f.often(sound) {
			f.send(fmt.Sprint("sound", n), 0, clientTries*hostTries)
		}
		if f.often(sound / 4) {
			f.send(fmt.Sprint("often", f.random.IntN(20)), 0, clientTries*hostTries)
		}
		for i, rate := range deadly {
			if f.often(rate) {
				f.send(fmt.Sprint("deadly", i), 0, clientTries*hostTries)
			}
		}
		for target := range f.downTill {
			if !f.now.Before(f.downTill[target]) && f.often(crashes) {
				f.crash(target)
			}
		}
		f.step()
	}
}

// Guards against requests that go on crashing targets, alone or several of them, beside other crashes.
func TestDeadlyRequestsAreRefusedAfterTheThirdCrash(t *testing.T) {
	for _, c := range []struct {
		hosts, targets int
		sound, crashes float64
		interval       time.Duration
		deadly         []float64
	}{
		{7, 4, 20, 0, 200 * time.Millisecond, []float64{2}},
		{7, 4, 20, 0, 200 * time.Millisecond, []float64{0.3}},
		{7, 4, 20, 0, 200 * time.Millisecond, []float64{12}},
		{7, 4, 40, 0, 200 * time.Millisecond, []float64{2, 1}},
		{7, 18, 100, 0, 200 * time.Millisecond, []float64{2, 2, 1}},
		{7, 18, 100, 0.01, 200 * time.Millisecond, []float64{1}},
		{3, 1, 5, 0, 200 * time.Millisecond, []float64{0.5}},
		{20, 60, 200, 0.005, 300 * time.Millisecond, []float64{8, 1}},
	} {
		for seed := range uint64(4) {
			f := newRequestFleet(seed, c.hosts, c.targets, c.interval)
			f.play(10*time.Second, c.sound, c.crashes)
			f.play(30*time.Second, c.sound, c.crashes, c.deadly...)
			for i, rate := range c.deadly {
				name := fmt.Sprint("deadly", i)
				refusedHere := f.hosts[0].Blocked(keyOf(name), f.now) > 0
				if f.late[name] > 3 || f.refused > 0 || f.served == 0 || rate >= 1 && !refusedHere ||
					rate >= 1 && len(c.deadly) == 1 && len(f.crashes[name]) < 3 {
					t.Errorf("%+v, seed %d, %s: %d crashes, refused %v, %d runs late, %d sound requests refused, %d served",
						c, seed, name, len(f.crashes[name]), refusedHere, f.late[name], f.refused, f.served)
				}
			}
		}
	}
}

// Guards against refusing sound requests because targets crash for other reasons, seldom or all the time.
func TestSoundRequestsAreNotRefusedBesideCrashes(t *testing.T) {
	lost := 0
	for _, targets := range []int{1, 4, 18} {
		for _, crashes := range []float64{0.02, 0.1, 0.5, 3, 20} { // a second and target
			for seed := range uint64(6) {
				f := newRequestFleet(seed, 5, targets, 200*time.Millisecond)
				f.play(60*time.Second, 60, crashes)
				lost += f.lost
				if f.refused > 0 {
					t.Errorf("%d targets that crash %v times a second, seed %d: %d sound requests refused of which %d runs were lost",
						targets, crashes, seed, f.refused, f.lost)
				}
			}
		}
	}
	if lost < 1000 {
		t.Errorf("only %d runs of sound requests were lost", lost)
	}
}

// Guards against a request of one caller that is taken for another caller's, or for one with another body.
func TestKeysTellRequestsApart(t *testing.T) {
	seen := map[RequestKey]string{}
	for _, r := range [][4]string{
		{"a", "GET", "/x", ""}, {"b", "GET", "/x", ""}, {"a", "POST", "/x", ""}, {"a", "GET", "/y", ""}, {"a", "GET", "/x", "b"}, {"a", "GET", "/xb", ""},
	} {
		k := KeyOfRequest(r[0], []byte(r[1]), []byte(r[2]), []byte(r[3]))
		if other, ok := seen[k]; ok {
			t.Errorf("%v and %s have the same key", r, other)
		}
		seen[k] = fmt.Sprint(r)
		if parsed, ok := ParseRequestKey(k.String()); !ok || parsed != k {
			t.Errorf("%v parsed as %v (%v)", k, parsed, ok)
		}
	}
}

// Guards against memory that grows with the crashes and with what was lost in them.
func TestMemoryOfLostRequestsIsBounded(t *testing.T) {
	d, now := NewRequests(), time.Unix(1000, 0)
	for i := range 4 * maxCrashes {
		for j := range 2 * maxLostInCrash {
			d.Crashed(Lost{Key: keyOf(fmt.Sprint(i, j)), Service: "s", Target: fmt.Sprint(i), Addr: fmt.Sprint(i), SentAt: now}, now, now)
		}
		now = now.Add(time.Millisecond)
	}
	if len(d.crashes) > maxCrashes || len(d.suspects) > maxCrashes*maxLostInCrash {
		t.Errorf("%d crashes, %d suspects", len(d.crashes), len(d.suspects))
	}
	if r := d.Report(now); len(r.Crashes) > maxReportedFleetCrashes {
		t.Errorf("%d crashes reported", len(r.Crashes))
	}
}

// Guards against a suspect that is sent by several hosts at once, and against a sound one that is held up after it has survived.
func TestSuspectsAreSentOneAtATime(t *testing.T) {
	now, k := time.Unix(1000, 0), keyOf("suspect")
	hosts := []*Requests{NewRequests(), NewRequests(), NewRequests()}
	exchange := func() {
		for _, h := range hosts {
			h.Judge(now, 400*time.Millisecond)
			r := h.Report(now)
			for _, other := range hosts {
				if other != h {
					other.Merge(r, now)
				}
			}
		}
	}
	for i := range minStoredCrashes {
		if turn := hosts[0].Turn(k, true, now); turn != Free {
			t.Fatalf("after %d crashes: turn %d", i, turn)
		}
		hosts[i].Crashed(Lost{Key: k, Service: "s", Target: fmt.Sprint(i), Addr: fmt.Sprint(i), SentAt: now}, now.Add(time.Second), now.Add(time.Second))
		now = now.Add(time.Second)
		exchange()
		now = now.Add(time.Second)
	}
	for _, h := range hosts {
		if turn := h.Turn(k, true, now); turn != Claimed {
			t.Fatalf("turn %d of a claim", turn)
		}
	}
	exchange()
	now = now.Add(200 * time.Millisecond)
	var owner *Requests
	for _, h := range hosts {
		if h.Turn(k, true, now) == Own {
			if owner != nil {
				t.Error("two hosts send it")
			}
			owner = h
		}
	}
	if owner == nil {
		t.Fatal("no host sends it")
	}
	if turn := owner.Turn(k, true, now); turn != Wait {
		t.Errorf("turn %d of a second run at the same host", turn)
	}
	owner.Survived(k, nil, "s", time.Millisecond, now)
	owner.EndRun(k)
	exchange()
	for _, h := range hosts {
		if turn := h.Turn(k, true, now); turn != Free {
			t.Errorf("turn %d after it survived", turn)
		}
	}
}
