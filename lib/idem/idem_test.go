package idem

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/peer"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "20260711", "")) }

const simHosts = 4

// cluster is a set of hosts on a faulty network. All fields are guarded by mu.
type cluster struct {
	mu         sync.Mutex
	rng        *rand.Rand
	faulty     bool
	hosts      map[string]*simHost
	cutUntil   map[[2]string]time.Time // no messages between the two hosts until then
	snap       *confview.Snapshot
	changedAt  time.Time
	runs       map[Key][]time.Time
	doubleRuns int
	results    map[refusal.Reason]int
	wg         sync.WaitGroup
}

// simHost is a simulated host with its view of the configuration.
type simHost struct {
	w            *cluster
	id           string
	incarnation  int
	m            *Manager // nil while the host is down
	snap         *confview.Snapshot
	freshAt      time.Time
	offlineUntil time.Time     // no configuration until then
	lag          time.Duration // delay until it learns of a change of the configuration
	assumeEmpty  bool          // AssumeEmpty of its next incarnation
}

func (h *simHost) Self() string                         { return h.id }
func (h *simHost) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }

func (h *simHost) Members() []confview.Member {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	var out []confview.Member
	for _, other := range h.w.hosts {
		out = append(out, confview.Member{ID: other.id, Boot: fmt.Sprint(other.incarnation)})
	}
	return out
}

func (h *simHost) Snapshot() *confview.Snapshot {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.snap
}

func (h *simHost) Status() confview.Status {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	if time.Since(h.freshAt) <= 2*time.Second {
		return confview.Fresh
	}
	return confview.Isolated
}

// Call delivers a request after a delay, possibly twice or not at all. The response may be delayed or lost as well.
func (h *simHost) Call(ctx context.Context, member, method string, args, reply any) error {
	w := h.w
	w.mu.Lock()
	incarnation := h.incarnation
	to := w.hosts[member]
	requestDelay, responseDelay := w.drawDelay(h.id, member), w.drawDelay(h.id, member)
	duplicated := w.faulty && w.rng.IntN(10) == 0
	duplicateDelay := time.Duration(w.rng.Int64N(int64(20 * time.Second)))
	down := to.m == nil
	w.mu.Unlock()
	if down {
		return peer.ErrUnreachable
	}
	if duplicated {
		w.wg.Go(func() { time.Sleep(duplicateDelay); w.deliver(to, method, args, nil) })
	}
	answer := make(chan error, 1)
	out := newReply(reply)
	w.wg.Go(func() {
		time.Sleep(requestDelay)
		if !w.deliver(to, method, args, out) {
			return
		}
		time.Sleep(responseDelay)
		answer <- nil
	})
	select {
	case <-answer:
		w.mu.Lock()
		defer w.mu.Unlock()
		if h.incarnation != incarnation {
			return peer.ErrTimeout
		}
		copyReply(out, reply)
		return nil
	case <-ctx.Done():
		return peer.ErrTimeout
	}
}

// drawDelay draws the transmission time of a message; an hour stands for a lost message. The caller holds mu.
func (w *cluster) drawDelay(a, b string) time.Duration {
	if b < a {
		a, b = b, a
	}
	if time.Now().Before(w.cutUntil[[2]string{a, b}]) || w.faulty && w.rng.IntN(15) == 0 {
		return time.Hour
	}
	d := time.Duration(w.rng.Int64N(int64(3 * time.Millisecond)))
	if w.faulty && w.rng.IntN(6) == 0 {
		d = time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	}
	return d
}

// deliver calls the method of a host's RPC service and returns false if the host is down. reply may be nil.
func (w *cluster) deliver(to *simHost, method string, args, reply any) bool {
	w.mu.Lock()
	m := to.m
	w.mu.Unlock()
	if m == nil {
		return false
	}
	s := &service{m}
	switch a := args.(type) {
	case *ClaimArgs:
		var r ClaimReply
		_ = s.Claim(a, &r)
		copyReply(&r, reply)
	case *CopyArgs:
		var r CopyReply
		_ = s.Copy(a, &r)
		copyReply(&r, reply)
	case *FinishArgs:
		var r FinishReply
		_ = s.Finish(a, &r)
		copyReply(&r, reply)
	case *TakeArgs:
		var r TakeReply
		_ = s.Take(a, &r)
		copyReply(&r, reply)
	default:
		panic(method)
	}
	return true
}

func copyReply(from, to any) {
	if to != nil {
		reflect.ValueOf(to).Elem().Set(reflect.ValueOf(from).Elem())
	}
}

func newReply(reply any) any {
	switch reply.(type) {
	case *ClaimReply:
		return new(ClaimReply)
	case *CopyReply:
		return new(CopyReply)
	case *FinishReply:
		return new(FinishReply)
	}
	return new(TakeReply)
}

func newCluster(seed uint64, faulty bool) *cluster {
	w := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), faulty: faulty, hosts: map[string]*simHost{},
		cutUntil: map[[2]string]time.Time{}, runs: map[Key][]time.Time{}, results: map[refusal.Reason]int{},
		snap: &confview.Snapshot{Manifest: &manifest.Manifest{}},
	}
	for i := range simHosts {
		h := &simHost{w: w, id: string(rune('a' + i)), snap: w.snap, freshAt: time.Now()}
		w.hosts[h.id] = h
	}
	for _, h := range w.hosts {
		h.start()
	}
	w.advance(time.Second)
	owners := make([]string, manifest.SlotCount)
	for i := range owners {
		owners[i] = string(rune('a' + i%simHosts))
	}
	w.assignSlots(owners)
	w.advance(5 * time.Second)
	return w
}

func (h *simHost) start() {
	m, err := New(Config{View: h, Caller: h, AssumeEmpty: h.assumeEmpty})
	if err != nil {
		panic(err)
	}
	h.w.mu.Lock()
	h.m = m
	h.w.mu.Unlock()
}

func (h *simHost) kill() {
	h.w.mu.Lock()
	m := h.m
	h.m = nil
	h.incarnation++
	h.w.mu.Unlock()
	if m != nil {
		m.Close()
	}
}

// assignSlots writes the next slot table, which each host receives after its lag.
func (w *cluster) assignSlots(owners []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := *w.snap.Manifest
	m.Revision++
	m.Slots = m.Slots.WithOwners(owners)
	w.snap, w.changedAt = &confview.Snapshot{Manifest: &m}, time.Now()
	for _, h := range w.hosts {
		h.lag = 0
		if w.faulty {
			h.lag = time.Duration(w.rng.Int64N(int64(1500 * time.Millisecond)))
		}
	}
}

// advance lets time pass and distributes the configuration.
func (w *cluster) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		w.mu.Lock()
		for _, h := range w.hosts {
			if now := time.Now(); now.Sub(w.changedAt) >= h.lag && !now.Before(h.offlineUntil) {
				h.snap, h.freshAt = w.snap, now
			}
		}
		w.mu.Unlock()
	}
}

// attempt claims a key at a host and runs the request if permitted. It returns the stored response if the owner
// replays one.
func (w *cluster) attempt(h *simHost, key Key, ending State, took time.Duration) *Response {
	w.mu.Lock()
	m, incarnation := h.m, h.incarnation
	w.mu.Unlock()
	if m == nil {
		return nil
	}
	digest := sha256.Sum256(key[:])
	claim, stored, err := m.Claim(context.Background(), key, digest, 30*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, ok := refusal.As(err); ok {
		w.results[r.Reason]++
	}
	if stored != nil {
		w.results["replayed"]++
	}
	if claim == nil || h.incarnation != incarnation {
		return stored
	}
	w.results["run"]++
	if ending != Released {
		if n := len(w.runs[key]); n > 0 && time.Since(w.runs[key][n-1]) < Retention {
			w.doubleRuns++
		}
		w.runs[key] = append(w.runs[key], time.Now())
	}
	w.mu.Unlock()
	time.Sleep(took)
	switch ending {
	case Done:
		claim.Done(Response{Status: 200, Body: []byte("booked")})
	case Unknown:
		claim.Unknown()
	case Released:
		claim.Release()
	}
	w.mu.Lock()
	return nil
}

func (w *cluster) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	w.wg.Wait()
}

// step performs one random action.
func (w *cluster) step(pick func(n int) int) {
	h := w.hosts[string(rune('a'+pick(simHosts)))]
	switch pick(12) {
	case 0, 1, 2, 3:
		w.startAttempts(h, MakeKey("x", fmt.Sprint(pick(4))), pick)
		w.advance(time.Duration(pick(1000)+1) * time.Millisecond)
	case 9, 10, 11:
		w.moveSlotDuringClaims(h, MakeKey("x", fmt.Sprint(pick(4))), pick)
	case 4:
		w.advance(time.Duration(pick(8000)+1) * time.Millisecond)
	case 5: // the controller reassigns the slots of a host, in practice mostly of a dead one
		w.mu.Lock()
		owners := slices.Clone(w.snap.Manifest.Slots.Owners)
		w.mu.Unlock()
		to := string(rune('a' + pick(simHosts)))
		for i := range owners {
			if owners[i] == h.id {
				owners[i] = to
			}
		}
		w.assignSlots(owners)
	case 6:
		h.kill()
		if pick(2) == 0 {
			w.advance(time.Duration(pick(8000)) * time.Millisecond)
		}
		h.start()
	case 7:
		w.cutLink(h.id, string(rune('a'+pick(simHosts))), time.Duration(pick(20))*time.Second)
	default:
		w.mu.Lock()
		h.offlineUntil = time.Now().Add(time.Duration(pick(10)) * time.Second)
		w.mu.Unlock()
	}
}

// cutLink drops all messages between two hosts for a time.
func (w *cluster) cutLink(a, b string, d time.Duration) {
	if b < a {
		a, b = b, a
	}
	w.mu.Lock()
	w.cutUntil[[2]string{a, b}] = time.Now().Add(d)
	w.mu.Unlock()
}

// startAttempts starts one or two attempts at a host in the background.
func (w *cluster) startAttempts(h *simHost, key Key, pick func(n int) int) {
	ending := []State{Done, Done, Unknown, Released, Claimed}[pick(5)]
	took := time.Duration(pick(3000)) * time.Millisecond
	for range pick(2) + 1 {
		w.wg.Go(func() { w.attempt(h, key, ending, took) })
	}
}

// moveSlotDuringClaims moves the key's slot from its owner, which does not learn of it at once, while old and new owner
// receive claims and some of the hosts involved cannot reach each other. The slot may move on or back within seconds.
func (w *cluster) moveSlotDuringClaims(to *simHost, key Key, pick func(n int) int) {
	w.mu.Lock()
	table := Table(w.snap.Manifest.Slots)
	w.mu.Unlock()
	owner, successor := w.hosts[table.Owner(key.Slot())], w.hosts[table.Successor(key.Slot())]
	if owner == nil || successor == nil {
		return
	}
	for _, pair := range [][2]*simHost{{owner, to}, {owner, successor}, {to, successor}} {
		if pick(2) == 0 {
			w.cutLink(pair[0].id, pair[1].id, time.Duration(pick(8))*time.Second)
		}
	}
	if pick(3) == 0 {
		w.startAttempts(owner, key, pick)
	}
	hops := []*simHost{to, w.hosts[string(rune('a'+pick(simHosts)))], owner}
	for _, next := range hops[:1+pick(3)] {
		w.mu.Lock()
		owner.offlineUntil = time.Now().Add(time.Duration(pick(3000)) * time.Millisecond)
		owners := slices.Clone(w.snap.Manifest.Slots.Owners)
		w.mu.Unlock()
		owners[key.Slot()] = next.id
		w.assignSlots(owners)
		for range pick(3) + 1 {
			w.startAttempts([]*simHost{owner, next, to}[pick(3)], key, pick)
			w.advance(time.Duration(pick(900)) * time.Millisecond)
		}
		if pick(4) == 0 {
			victim := []*simHost{owner, successor, to}[pick(3)]
			victim.kill()
			victim.start()
		}
	}
}

// Guards against two attempts with the same key that both run (invariant 9), under kills, restarts, network cuts,
// lost, delayed and repeated messages, lagging configuration and slot changes.
func TestAtMostOneRun(t *testing.T) {
	totals := map[refusal.Reason]int{}
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			w := newCluster(rapid.Uint64().Draw(t, "network"), true)
			for range rapid.IntRange(10, 30).Draw(t, "steps") {
				w.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
			}
			w.close()
			for r, n := range w.results {
				totals[r] += n
			}
			if w.doubleRuns > 0 {
				t.Fatalf("%d requests ran twice", w.doubleRuns)
			}
		})
	})
	t.Logf("outcomes of claims: %v", totals)
	if totals["run"] == 0 || totals["replayed"] == 0 {
		t.Error("no request ran or none was replayed: the test exercises nothing")
	}
}

// Guards against a check that finds nothing: with hosts that take unknown records for missing ones (AssumeEmpty),
// requests must be seen to run twice.
func TestAtMostOneRunNegativeControl(t *testing.T) {
	for seed := range uint64(200) {
		doubleRuns := 0
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(seed, true)
			for _, h := range w.hosts {
				h.assumeEmpty = true
			}
			r := rand.New(rand.NewPCG(seed, 2))
			for range 60 {
				w.step(r.IntN)
			}
			w.close()
			doubleRuns = w.doubleRuns
		})
		if doubleRuns > 0 {
			t.Logf("caught with seed %d", seed)
			return
		}
	}
	t.Fatal("not caught in 200 runs")
}

// Guards against a stored response that is lost when the owner of its key is killed, restarts or gives up its slots.
// A repeated request at another host has to get it.
func TestResponseSurvivesOwnerChange(t *testing.T) {
	for name, disturb := range map[string]func(w *cluster, owner *simHost, owners []string){
		"nothing": func(*cluster, *simHost, []string) {},
		"killed": func(w *cluster, owner *simHost, owners []string) {
			owner.kill()
			w.advance(5 * time.Second)
			w.assignSlots(owners)
		},
		"restarted": func(_ *cluster, owner *simHost, _ []string) { owner.kill(); owner.start() },
		"planned stop": func(w *cluster, owner *simHost, owners []string) {
			w.assignSlots(owners)
			w.wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				if err := owner.m.Drain(ctx); err != nil {
					panic(err)
				}
				owner.kill()
			})
			w.advance(time.Second)
		},
		"successor restarted, then owner killed": func(w *cluster, owner *simHost, owners []string) {
			succ := w.hosts[Table(w.snap.Manifest.Slots).Successor(MakeKey("x", "k").Slot())]
			succ.kill()
			succ.start()
			w.advance(5 * time.Second) // the owner copies its records again
			owner.kill()
			w.assignSlots(owners)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(1, false)
				key := MakeKey("x", "k")
				owner := w.hosts[Table(w.snap.Manifest.Slots).Owner(key.Slot())]
				other := w.hosts["a"]
				if owner == other {
					other = w.hosts["b"]
				}
				w.attempt(other, key, Done, time.Second)
				w.advance(time.Second)
				owners := slices.Clone(w.snap.Manifest.Slots.Owners)
				for i := range owners {
					if owners[i] == owner.id {
						owners[i] = other.id
					}
				}
				disturb(w, owner, owners)
				w.advance(5 * time.Second)
				r := w.attempt(other, key, Done, 0)
				w.close()
				if r == nil || string(r.Body) != "booked" {
					t.Errorf("stored response %v, outcomes %v", r, w.results)
				}
			})
		})
	}
}

// Guards against a message type that the mesh's codec (gob) cannot encode.
func TestMessagesSurviveGob(t *testing.T) {
	in := TakeReply{Known: true, Wait: time.Second, Records: []Record{{
		Key: MakeKey("x", "k"), Claim: "c", Version: 2, State: Done, HasResponse: true, ExpiresIn: time.Minute,
		Response: Response{Status: 200, ContentType: "text/plain", Body: []byte("b")},
	}}}
	var buf bytes.Buffer
	var out TakeReply
	if err := errors.Join(gob.NewEncoder(&buf).Encode(in), gob.NewDecoder(&buf).Decode(&out)); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(in, out) {
		t.Fatalf("sent %+v, received %+v", in, out)
	}
}

// Guards against claims that are refused because the owner of their slot stops as planned.
func TestClaimsWaitForAPlannedHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(1, false)
		old := w.hosts["b"]
		owners := slices.Clone(w.snap.Manifest.Slots.Owners)
		for i := range owners {
			if owners[i] == old.id {
				owners[i] = "c"
			}
		}
		for n := range 200 {
			if n == 50 {
				w.assignSlots(owners)
			}
			for _, h := range []*simHost{w.hosts["a"], old, w.hosts["c"]} {
				w.wg.Go(func() { w.attempt(h, MakeKey(h.id, fmt.Sprint(n)), Done, 0) })
			}
			w.advance(10 * time.Millisecond)
		}
		w.close()
		if w.results["run"] != 600 || len(w.results) != 1 {
			t.Errorf("outcomes of 600 claims: %v", w.results)
		}
	})
}
