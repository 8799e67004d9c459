package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/engine"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
	"cuminhook.org/cuminhook/lib/weights"
	"cuminhook.org/cuminhook/test/rapidtest"
)

func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, "7", "20")) }

var errLost = errors.New("test: answer lost")

const (
	leaseTTL = 5 * time.Second
	testCell = "c"
)

// faults are probabilities per order, and the sabotage of a negative control.
type faults struct {
	lost, unanswered, late, duplicated, refused float64
	kvUnknown                                   float64
	noFencing                                   bool
	// Sabotage.
	skipIntent, dropDoubt, earlyConfirm, skipLease bool
}

// world holds the fakes of one test case: key-value service, lease, engines and controller processes.
type world struct {
	mu         sync.Mutex
	rng        *rand.Rand
	faults     faults
	kv         map[string]kv.Entry
	kvVersion  kv.Version
	kvDown     bool
	engines    map[string]*fakeEngine
	hosts      []hostlist.Host
	state      *ticket.State
	holder     *process
	epoch      int64
	expires    time.Time
	unlisted   map[string]time.Time // target/model by the time it left the view
	lastHeld   map[string]time.Time // engine/model by the last time that the engine held it
	violations []string
	procs      []*process
	wg         sync.WaitGroup
	boots      int
	reports    int // Config.ReportsPerSecond
}

func newWorld(seed uint64) *world {
	return &world{
		rng: rand.New(rand.NewPCG(seed, 1)), kv: map[string]kv.Entry{}, engines: map[string]*fakeEngine{},
		state:    &ticket.State{Models: map[string]ticket.Model{}, Adapters: map[string]ticket.Adapter{}},
		unlisted: map[string]time.Time{}, lastHeld: map[string]time.Time{},
	}
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// process is one controller program. A paused process stops at its next call of a dependency.
type process struct {
	w        *world
	c        *Controller
	mu       sync.Mutex
	resume   chan struct{} // not nil while paused
	dead     bool
	pausedAt time.Time // last pause
	heldAt   time.Time // last lease check
	valid    time.Time // end of the lease by the process's clock
	epoch    int64
	cancel   context.CancelFunc
}

var errKilled = errors.New("test: process killed")

// gate blocks while the process is paused.
func (p *process) gate() error {
	for {
		p.mu.Lock()
		resume, dead := p.resume, p.dead
		p.mu.Unlock()
		if dead {
			return errKilled
		}
		if resume == nil {
			return nil
		}
		<-resume
	}
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume, p.pausedAt = make(chan struct{}), time.Now()
	}
}

func (p *process) unpause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume, p.pausedAt = nil, time.Now()
	}
}

func (p *process) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.unpause()
	p.cancel()
}

func (w *world) start(planner func() Planner) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{w: w, cancel: cancel}
	p.c = New(Config{Cell: testCell, Limits: weights.Limits{LoadsPerSecond: 2, FullSpeedLoads: 3, AdapterLoadsAtSpeed: 25}, ReportsPerSecond: w.reports}, Deps{
		KV: (*procKV)(p), View: (*procView)(p), Engines: (*procEngines)(p), Lease: (*procLease)(p), NewPlanner: planner,
		Log: slog.New(slog.DiscardHandler),
	})
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	w.wg.Go(func() { _ = p.c.Run(ctx) })
	return p
}

func (w *world) stop() {
	w.mu.Lock()
	procs := slices.Clone(w.procs)
	w.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	w.wg.Wait()
}

// procLease is the process's lease; it checks the process's own clock as lib/lease does.
type procLease process

func (l *procLease) Held() (int64, bool) {
	p := (*process)(l)
	if p.gate() != nil {
		return 0, false
	}
	p.mu.Lock()
	epoch, valid := p.epoch, p.valid
	p.heldAt = time.Now()
	p.mu.Unlock()
	p.w.mu.Lock()
	skip := p.w.faults.skipLease
	p.w.mu.Unlock()
	return epoch, skip || time.Now().Before(valid)
}

// renew extends or takes the lease at the server. It reports whether the process holds it.
func (l *procLease) renew(take bool) bool {
	p := (*process)(l)
	if p.gate() != nil {
		return false
	}
	sent := time.Now()
	w := p.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.kvDown {
		return false
	}
	if w.holder != p || sent.After(w.expires) {
		if !take || w.holder != nil && !sent.After(w.expires) {
			return false
		}
		w.epoch++
		w.holder = p
	}
	w.expires = sent.Add(leaseTTL)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.valid, p.epoch = sent.Add(leaseTTL*9/10), w.epoch
	return true
}

func (l *procLease) Campaign(ctx context.Context) (int64, <-chan struct{}, error) {
	p := (*process)(l)
	for !l.renew(true) {
		sleep(ctx, 200*time.Millisecond)
		if ctx.Err() != nil {
			return 0, nil, ctx.Err()
		}
	}
	lost := make(chan struct{})
	p.w.wg.Go(func() {
		defer close(lost)
		for {
			sleep(context.Background(), time.Second)
			p.mu.Lock()
			over := p.dead || time.Now().After(p.valid)
			p.mu.Unlock()
			if over {
				p.w.mu.Lock()
				skip := p.w.faults.skipLease
				p.w.mu.Unlock()
				if !skip || p.dead {
					return
				}
			}
			l.renew(false)
		}
	})
	return p.epoch, lost, nil
}

func (l *procLease) Resign(context.Context) error {
	p := (*process)(l)
	if err := p.gate(); err != nil {
		return err
	}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.w.holder == p {
		p.w.holder = nil
	}
	p.valid = time.Time{}
	return nil
}

type procView process

func (v *procView) Snapshot() *confview.Snapshot {
	_ = (*process)(v).gate()
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	return &confview.Snapshot{
		Manifest: &manifest.Manifest{}, State: v.w.state, Placement: &placement.View{}, Hosts: slices.Clone(v.w.hosts),
	}
}
func (v *procView) Status() confview.Status              { return confview.Fresh }
func (v *procView) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }
func (v *procView) Members() []confview.Member           { return nil }
func (v *procView) Self() string                         { return "self" }

// procKV is the key-value service as the process sees it.
type procKV process

func (s *procKV) call() error {
	if err := (*process)(s).gate(); err != nil {
		return kv.ErrUnavailable
	}
	time.Sleep(time.Millisecond)
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if s.w.kvDown {
		return kv.ErrUnavailable
	}
	return nil
}

func (s *procKV) Get(_ context.Context, key string) (kv.Entry, error) {
	if err := s.call(); err != nil {
		return kv.Entry{}, err
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	e, ok := s.w.kv[key]
	if !ok {
		return kv.Entry{}, kv.ErrNotFound
	}
	if s.w.faults.dropDoubt && strings.Contains(key, "/target/") {
		e.Value = withoutDoubt(e.Value)
	}
	return e, nil
}

func (s *procKV) Put(_ context.Context, key string, value []byte, expect kv.Version, _ kv.LeaseID) (kv.Version, error) {
	if err := s.call(); err != nil {
		return 0, err
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	w := s.w
	if w.kv[key].Version != expect {
		return 0, kv.ErrConflict
	}
	if w.chance(w.faults.kvUnknown / 2) {
		if w.chance(0.5) { // takes effect later, if it still can
			w.wg.Go(func() {
				time.Sleep(time.Second)
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.kv[key].Version == expect {
					w.write(key, value)
				}
			})
		}
		return 0, kv.ErrUnknown
	}
	w.write(key, value)
	if w.chance(w.faults.kvUnknown / 2) {
		return 0, kv.ErrUnknown
	}
	return w.kvVersion, nil
}

func (w *world) write(key string, value []byte) {
	w.kvVersion++
	if w.faults.skipIntent && strings.Contains(key, "/target/") {
		value = withoutDoubt(value)
	}
	if key == ViewKey(testCell) {
		w.noteView(w.kv[key].Value, value)
	}
	w.kv[key] = kv.Entry{Key: key, Value: value, Version: w.kvVersion}
}

func (s *procKV) Wait(context.Context, string, kv.Version, time.Duration) (kv.Entry, error) {
	return kv.Entry{}, kv.ErrUnavailable
}

func (s *procKV) List(context.Context, string) ([]kv.Entry, error) { return nil, kv.ErrUnavailable }

func (s *procKV) Delete(context.Context, string, kv.Version) error { return kv.ErrUnavailable }

func (s *procKV) Grant(context.Context, time.Duration) (kv.LeaseID, error) {
	return 0, kv.ErrUnavailable
}

func (s *procKV) KeepAlive(context.Context, kv.LeaseID) error { return kv.ErrUnavailable }

func (s *procKV) Revoke(context.Context, kv.LeaseID) error { return kv.ErrUnavailable }

// withoutDoubt removes unsettled orders from a stored ledger, as a controller would see that forgets them.
func withoutDoubt(value []byte) []byte {
	var l map[string]any
	if json.Unmarshal(value, &l) != nil {
		return value
	}
	entries, _ := l["n"].([]any)
	l["n"] = slices.DeleteFunc(entries, func(e any) bool { return e.(map[string]any)["o"] != nil })
	out, _ := json.Marshal(l)
	return out
}

func decodeView(value []byte) *placement.View {
	v := &placement.View{}
	_ = json.Unmarshal(value, v)
	return v
}

// noteView records which models leave the view of a target.
func (w *world) noteView(before, after []byte) {
	next := decodeView(after)
	for _, t := range decodeView(before).Targets {
		for _, m := range t.Models {
			if !lists(next, t.ID, entryKey{placement.KindModel, m}) {
				w.unlisted[t.ID+"/"+m] = time.Now()
			}
		}
	}
}

func (w *world) view() *placement.View { return decodeView(w.kv[ViewKey(testCell)].Value) }

// fakeEngine carries out orders without any check of its memory.
type fakeEngine struct {
	id       string
	boot     string
	alive    bool
	fences   bool
	capacity int64
	epoch    int64
	seq      int64
	memory   map[string]int64     // kind/name, taken from the acceptance of a load
	loaded   map[string]bool      // kind/name, load completed
	since    map[string]time.Time // kind/name, when the load completed
	answers  map[string]error
	done     []string
	running  int
}

func (w *world) addEngine(id, zone string, capacity int64, fences bool) {
	w.hosts = append(w.hosts, hostlist.Host{ID: id, Role: hostlist.RoleEngine, Zone: zone, Addr: id})
	e := &fakeEngine{id: id, fences: fences, capacity: capacity}
	w.engines[id] = e
	w.boot(e)
}

func (w *world) boot(e *fakeEngine) {
	w.boots++
	e.boot, e.alive = fmt.Sprintf("boot-%d", w.boots), true
	e.epoch, e.seq, e.done, e.running = 0, 0, nil, 0
	e.memory, e.loaded, e.answers = map[string]int64{}, map[string]bool{}, map[string]error{}
	e.since = map[string]time.Time{}
}

func orderKey(o engine.Order) string {
	if o.Kind == engine.OrderLoadAdapter || o.Kind == engine.OrderUnloadAdapter {
		return "adapter/" + o.Name
	}
	return "model/" + o.Name
}

// accept carries out an order up to the point where its memory is taken or freed. pending tells that a load
// still takes its time. The caller holds the world's mutex.
func (w *world) accept(e *fakeEngine, o engine.Order) (pending bool, err error) {
	if !e.alive {
		return false, errLost
	}
	if o.Boot != e.boot {
		return false, engine.ErrNotRun
	}
	if err, ok := e.answers[o.ID]; ok {
		return false, err
	}
	if e.fences {
		if o.Epoch < e.epoch || o.Epoch == e.epoch && o.Seq <= e.seq {
			return false, engine.ErrFenced
		}
		e.epoch, e.seq = o.Epoch, o.Seq
	}
	e.answers[o.ID] = nil
	key := orderKey(o)
	switch o.Kind {
	case engine.OrderFence:
		return false, nil
	case engine.OrderUnloadModel, engine.OrderUnloadAdapter:
		delete(e.memory, key)
		delete(e.loaded, key)
	default:
		if _, ok := e.memory[key]; !ok {
			e.memory[key] = o.Bytes
			var sum int64
			for _, b := range e.memory {
				sum += b
			}
			if sum > e.capacity {
				w.violate("%s holds %d of %d bytes after order %s of %s", e.id, sum, e.capacity, o.ID, o.Name)
			}
		}
		if !e.loaded[key] {
			e.running++
			return true, nil
		}
	}
	e.done = append(e.done, o.ID)
	return false, nil
}

// deliver carries out an order at the engine and returns its answer.
func (w *world) deliver(e *fakeEngine, o engine.Order) error {
	w.mu.Lock()
	boot := e.boot
	pending, err := w.accept(e, o)
	w.mu.Unlock()
	if pending {
		time.Sleep(700 * time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		if e.boot != boot || !e.alive {
			return errLost
		}
		e.running--
		if key := orderKey(o); e.memory[key] > 0 {
			e.loaded[key], e.since[key] = true, time.Now()
		}
		e.done = append(e.done, o.ID)
		return nil
	}
	return err
}

type procEngines process

// check verifies the rules for sending an order at the moment the controller sends it.
func (s *procEngines) check(e *fakeEngine, o engine.Order) {
	p, w, now := (*process)(s), s.w, time.Now()
	p.mu.Lock()
	pausedSince, heldAt := !p.pausedAt.Before(p.heldAt), p.heldAt
	p.mu.Unlock()
	if !pausedSince && (w.holder != p || now.After(w.expires)) {
		w.violate("order %s sent without the lease, last checked %v ago", o.ID, now.Sub(heldAt))
	}
	if o.Kind != engine.OrderUnloadModel || pausedSince {
		return
	}
	if _, ok := w.state.Models[o.Name]; !ok || !e.loaded["model/"+o.Name] && !w.faults.earlyConfirm {
		return
	}
	if now.Sub(w.unlisted[e.id+"/"+o.Name]) < viewDelay || lists(w.view(), e.id, entryKey{placement.KindModel, o.Name}) {
		w.violate("unload %s of %s ordered while gateways may route to it", o.ID, o.Name)
	}
	for id := range w.engines {
		if id != e.id && now.Sub(w.lastHeld[id+"/"+o.Name]) <= 2*unreachableAfter {
			return
		}
	}
	w.violate("unload %s of %s ordered without another copy", o.ID, o.Name)
}

func (s *procEngines) Order(ctx context.Context, addr string, o engine.Order) error {
	w := s.w
	if err := (*process)(s).gate(); err != nil {
		return err
	}
	w.mu.Lock()
	w.noteHeld()
	e, f := w.engines[addr], w.faults
	s.check(e, o)
	lost, late, dup, unanswered := w.chance(f.lost), w.chance(f.late), w.chance(f.duplicated), w.chance(f.unanswered)
	refused := w.chance(f.refused)
	delay := time.Duration(w.rng.Int64N(int64(40 * time.Second)))
	w.mu.Unlock()
	resend := func() { w.wg.Go(func() { time.Sleep(delay); _ = w.deliver(e, o) }) }
	switch {
	case refused:
		return engine.ErrOrderRefused
	case lost || late:
		if late {
			resend()
		}
		sleep(ctx, time.Second)
		return errLost
	case f.earlyConfirm && o.Kind == engine.OrderLoadModel:
		return w.confirmEarly(e, o, delay)
	case dup:
		resend()
	}
	result := make(chan error, 1)
	w.wg.Go(func() { result <- w.deliver(e, o) })
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-result:
		if gerr := (*process)(s).gate(); gerr != nil {
			return gerr
		}
		if unanswered {
			return errLost
		}
		return err
	}
}

// confirmEarly answers a load at once although it completes after delay.
func (w *world) confirmEarly(e *fakeEngine, o engine.Order, delay time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	boot := e.boot
	pending, err := w.accept(e, o)
	if pending {
		e.running--
		e.done = append(e.done, o.ID)
		w.wg.Go(func() {
			time.Sleep(delay)
			w.mu.Lock()
			defer w.mu.Unlock()
			if key := orderKey(o); e.boot == boot && e.memory[key] > 0 {
				e.loaded[key] = true
			}
		})
	}
	return err
}

// noteHeld records what living engines hold at this moment.
func (w *world) noteHeld() {
	for id, e := range w.engines {
		for key := range e.loaded {
			if name, ok := strings.CutPrefix(key, "model/"); ok && e.alive {
				w.lastHeld[id+"/"+name] = time.Now()
			}
		}
	}
}

func (s *procEngines) Report(ctx context.Context, addr string) (engine.Report, error) {
	if err := (*process)(s).gate(); err != nil {
		return engine.Report{}, err
	}
	sleep(ctx, 2*time.Millisecond)
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	e := s.w.engines[addr]
	if !e.alive {
		return engine.Report{}, errLost
	}
	r := engine.Report{Boot: e.boot, Capacity: e.capacity, Fences: e.fences, Epoch: e.epoch, Seq: e.seq, Done: slices.Clone(e.done)}
	for key := range e.memory {
		kind, name, _ := strings.Cut(key, "/")
		r.Residents = append(r.Residents, engine.Resident{
			Kind: kind, Name: name, Bytes: e.memory[key], Loading: !e.loaded[key] && !s.w.faults.earlyConfirm,
		})
	}
	return r, nil
}
