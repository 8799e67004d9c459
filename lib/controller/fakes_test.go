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

var errAnswerLost = errors.New("test: the answer was lost")

const (
	leaseTTL = 5 * time.Second
	testCell = "c"
)

// faults holds the probabilities of faults, per order or write, and the rules that negative controls break on purpose.
type faults struct {
	lost, unanswered, late, duplicated, refused float64
	kvUnknown                                   float64
	noFencing                                   bool
	// Rules of the controller, or assumptions about engines, that are broken on purpose.
	skipIntent, dropUnresolved, earlyConfirm, skipLease bool
}

// testEnv is the environment of one test case: fakes of the key-value service, the lease and the engines, and the
// controller processes.
type testEnv struct {
	mu               sync.Mutex
	rng              *rand.Rand
	faults           faults
	kv               map[string]kv.Entry
	kvVersion        kv.Version
	kvDown           bool
	engines          map[string]*fakeEngine
	hosts            []hostlist.Host
	state            *ticket.State
	holder           *process
	epoch            int64
	expires          time.Time
	unlistedAt       map[string]time.Time // by target/model: when it left the view
	lastLoaded       map[string]time.Time // by engine/model: when the engine last had it loaded
	violations       []string
	processes        []*process
	wg               sync.WaitGroup
	boots            int
	reportsPerSecond int // for Config.ReportsPerSecond
}

func newTestEnv(seed uint64) *testEnv {
	return &testEnv{
		rng: rand.New(rand.NewPCG(seed, 1)), kv: map[string]kv.Entry{}, engines: map[string]*fakeEngine{},
		state:      &ticket.State{Models: map[string]ticket.Model{}, Adapters: map[string]ticket.Adapter{}},
		unlistedAt: map[string]time.Time{}, lastLoaded: map[string]time.Time{},
	}
}

// reportViolation records the violation of an invariant. The caller holds mu.
func (env *testEnv) reportViolation(format string, args ...any) {
	env.violations = append(env.violations, fmt.Sprintf(format, args...))
}

func (env *testEnv) chance(p float64) bool { return env.rng.Float64() < p }

// process is a controller process. While it is paused, it blocks at its next call of a dependency.
type process struct {
	env             *testEnv
	c               *Controller
	mu              sync.Mutex
	resume          chan struct{} // not nil while paused
	dead            bool
	pausedAt        time.Time // when the last pause began, or ended if it is over
	leaseCheckedAt  time.Time // last lease check
	leaseValidUntil time.Time // end of the lease by the clock of the process
	epoch           int64
	cancel          context.CancelFunc
}

var errKilled = errors.New("test: the process was killed")

// waitWhilePaused blocks while the process is paused. It returns errKilled if the process was killed.
func (p *process) waitWhilePaused() error {
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

// start starts a controller process. A nil planner means that of lib/placement.
func (env *testEnv) start(planner func() Planner) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{env: env, cancel: cancel}
	p.c = New(Config{
		Cell: testCell, Limits: weights.Limits{LoadsPerSecond: 2, FullSpeedLoads: 3, AdapterLoadsAtSpeed: 25},
		ReportsPerSecond: env.reportsPerSecond,
	}, Deps{
		KV: (*procKV)(p), View: (*procView)(p), Engines: (*procEngines)(p), Lease: (*procLease)(p), NewPlanner: planner,
		Log: slog.New(slog.DiscardHandler),
	})
	env.mu.Lock()
	env.processes = append(env.processes, p)
	env.mu.Unlock()
	env.wg.Go(func() { _ = p.c.Run(ctx) })
	return p
}

// stop kills all processes and waits until they have ended.
func (env *testEnv) stop() {
	env.mu.Lock()
	procs := slices.Clone(env.processes)
	env.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	env.wg.Wait()
}

// procLease is the lease as the process sees it. It checks the process's own clock, as lib/lease does.
type procLease process

func (l *procLease) Held() (int64, bool) {
	p := (*process)(l)
	if p.waitWhilePaused() != nil {
		return 0, false
	}
	p.mu.Lock()
	epoch, valid := p.epoch, p.leaseValidUntil
	p.leaseCheckedAt = time.Now()
	p.mu.Unlock()
	p.env.mu.Lock()
	skip := p.env.faults.skipLease
	p.env.mu.Unlock()
	return epoch, skip || time.Now().Before(valid)
}

// renew extends the lease at the server, or with acquire also acquires a free one. It reports whether the process holds
// the lease.
func (l *procLease) renew(acquire bool) bool {
	p := (*process)(l)
	if p.waitWhilePaused() != nil {
		return false
	}
	sent := time.Now()
	env := p.env
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.kvDown {
		return false
	}
	if env.holder != p || sent.After(env.expires) {
		if !acquire || env.holder != nil && !sent.After(env.expires) {
			return false
		}
		env.epoch++
		env.holder = p
	}
	env.expires = sent.Add(leaseTTL)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaseValidUntil, p.epoch = sent.Add(leaseTTL*9/10), env.epoch
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
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	lost := make(chan struct{})
	p.env.wg.Go(func() {
		defer close(lost)
		for {
			sleep(context.Background(), time.Second)
			p.mu.Lock()
			dead := p.dead
			over := dead || time.Now().After(p.leaseValidUntil)
			p.mu.Unlock()
			if over {
				p.env.mu.Lock()
				skip := p.env.faults.skipLease
				p.env.mu.Unlock()
				if !skip || dead {
					return
				}
			}
			l.renew(false)
		}
	})
	return epoch, lost, nil
}

func (l *procLease) Resign(context.Context) error {
	p := (*process)(l)
	if err := p.waitWhilePaused(); err != nil {
		return err
	}
	p.env.mu.Lock()
	defer p.env.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.env.holder == p {
		p.env.holder = nil
	}
	p.leaseValidUntil = time.Time{}
	return nil
}

// procView is the configuration view of the process.
type procView process

func (v *procView) Snapshot() *confview.Snapshot {
	_ = (*process)(v).waitWhilePaused()
	v.env.mu.Lock()
	defer v.env.mu.Unlock()
	return &confview.Snapshot{
		Manifest: &manifest.Manifest{}, State: v.env.state, Placement: &placement.View{}, Hosts: slices.Clone(v.env.hosts),
	}
}
func (v *procView) Status() confview.Status              { return confview.Fresh }
func (v *procView) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }
func (v *procView) Members() []confview.Member           { return nil }
func (v *procView) Self() string                         { return "self" }

// procKV is the key-value service as called by the process.
type procKV process

// call is the common part of all calls: it blocks while the process is paused and fails during an outage.
func (s *procKV) call() error {
	if err := (*process)(s).waitWhilePaused(); err != nil {
		return kv.ErrUnavailable
	}
	time.Sleep(time.Millisecond)
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	if s.env.kvDown {
		return kv.ErrUnavailable
	}
	return nil
}

func (s *procKV) Get(_ context.Context, key string) (kv.Entry, error) {
	if err := s.call(); err != nil {
		return kv.Entry{}, err
	}
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	e, ok := s.env.kv[key]
	if !ok {
		return kv.Entry{}, kv.ErrNotFound
	}
	if s.env.faults.dropUnresolved && strings.Contains(key, "/target/") {
		e.Value = withoutUnresolved(e.Value)
	}
	return e, nil
}

func (s *procKV) Put(_ context.Context, key string, value []byte, expect kv.Version, _ kv.LeaseID) (kv.Version, error) {
	if err := s.call(); err != nil {
		return 0, err
	}
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	env := s.env
	if env.kv[key].Version != expect {
		return 0, kv.ErrConflict
	}
	if env.chance(env.faults.kvUnknown / 2) {
		if env.chance(0.5) { // takes effect later, unless the key was written meanwhile
			env.wg.Go(func() {
				time.Sleep(time.Second)
				env.mu.Lock()
				defer env.mu.Unlock()
				if env.kv[key].Version == expect {
					env.write(key, value)
				}
			})
		}
		return 0, kv.ErrUnknown
	}
	env.write(key, value)
	if env.chance(env.faults.kvUnknown / 2) {
		return 0, kv.ErrUnknown
	}
	return env.kvVersion, nil
}

// write stores the value. The caller holds mu.
func (env *testEnv) write(key string, value []byte) {
	env.kvVersion++
	if env.faults.skipIntent && strings.Contains(key, "/target/") {
		value = withoutUnresolved(value)
	}
	if key == ViewKey(testCell) {
		env.recordUnlisted(env.kv[key].Value, value)
	}
	env.kv[key] = kv.Entry{Key: key, Value: value, Version: env.kvVersion}
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

// withoutUnresolved removes the entries with unresolved orders from a stored ledger.
func withoutUnresolved(value []byte) []byte {
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

// recordUnlisted records which models are removed from the view of a target.
func (env *testEnv) recordUnlisted(before, after []byte) {
	next := decodeView(after)
	for _, t := range decodeView(before).Targets {
		for _, m := range t.Models {
			if !viewLists(next, t.ID, entryKey{placement.KindModel, m}) {
				env.unlistedAt[t.ID+"/"+m] = time.Now()
			}
		}
	}
}

// view returns the stored placement view. The caller holds mu.
func (env *testEnv) view() *placement.View { return decodeView(env.kv[ViewKey(testCell)].Value) }

// fakeEngine executes orders without checking its memory. Its fields are guarded by the mutex of testEnv.
type fakeEngine struct {
	id       string
	boot     string
	alive    bool
	fences   bool
	capacity int64
	epoch    int64
	seq      int64
	memory   map[string]int64     // by kind/name: bytes, in use from the acceptance of a load
	loaded   map[string]bool      // by kind/name: whether the load is complete
	loadedAt map[string]time.Time // by kind/name: when the load completed
	answers  map[string]error
	done     []string
	running  int
}

func (env *testEnv) addEngine(id, zone string, capacity int64, fences bool) {
	env.hosts = append(env.hosts, hostlist.Host{ID: id, Role: hostlist.RoleEngine, Zone: zone, Addr: id})
	e := &fakeEngine{id: id, fences: fences, capacity: capacity}
	env.engines[id] = e
	env.boot(e)
}

// boot restarts the engine with empty memory.
func (env *testEnv) boot(e *fakeEngine) {
	env.boots++
	e.boot, e.alive = fmt.Sprintf("boot-%d", env.boots), true
	e.epoch, e.seq, e.done, e.running = 0, 0, nil, 0
	e.memory, e.loaded, e.answers = map[string]int64{}, map[string]bool{}, map[string]error{}
	e.loadedAt = map[string]time.Time{}
}

// orderKey returns the kind/name of the order's entry.
func orderKey(o engine.Order) string {
	if o.Kind == engine.OrderLoadAdapter || o.Kind == engine.OrderUnloadAdapter {
		return "adapter/" + o.Name
	}
	return "model/" + o.Name
}

// accept executes an order up to the point where its memory is in use or freed. pending reports that the order is a load
// that is still to be completed. The caller holds the mutex of testEnv.
func (env *testEnv) accept(e *fakeEngine, o engine.Order) (pending bool, err error) {
	if !e.alive {
		return false, errAnswerLost
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
				env.reportViolation("%s uses %d of %d bytes after order %s of %s", e.id, sum, e.capacity, o.ID, o.Name)
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

// deliver executes an order at the engine and returns its answer.
func (env *testEnv) deliver(e *fakeEngine, o engine.Order) error {
	env.mu.Lock()
	boot := e.boot
	pending, err := env.accept(e, o)
	env.mu.Unlock()
	if pending {
		time.Sleep(700 * time.Millisecond)
		env.mu.Lock()
		defer env.mu.Unlock()
		if e.boot != boot || !e.alive {
			return errAnswerLost
		}
		e.running--
		if key := orderKey(o); e.memory[key] > 0 {
			e.loaded[key], e.loadedAt[key] = true, time.Now()
		}
		e.done = append(e.done, o.ID)
		return nil
	}
	return err
}

// procEngines is the engine control of the process.
type procEngines process

// checkSendRules reports a violation if the controller must not send the order now: without the lease, or an unload of
// a model that gateways may still route to or that has no other copy. The caller holds the mutex of testEnv.
func (s *procEngines) checkSendRules(e *fakeEngine, o engine.Order) {
	p, env, now := (*process)(s), s.env, time.Now()
	p.mu.Lock()
	pausedSince, leaseCheckedAt := !p.pausedAt.Before(p.leaseCheckedAt), p.leaseCheckedAt
	p.mu.Unlock()
	if !pausedSince && (env.holder != p || now.After(env.expires)) {
		env.reportViolation("order %s sent without the lease, last checked %v ago", o.ID, now.Sub(leaseCheckedAt))
	}
	if o.Kind != engine.OrderUnloadModel || pausedSince {
		return
	}
	if _, ok := env.state.Models[o.Name]; !ok || !e.loaded["model/"+o.Name] && !env.faults.earlyConfirm {
		return
	}
	if now.Sub(env.unlistedAt[e.id+"/"+o.Name]) < viewPropagationDelay ||
		viewLists(env.view(), e.id, entryKey{placement.KindModel, o.Name}) {
		env.reportViolation("unload %s of %s sent while gateways may route to it", o.ID, o.Name)
	}
	for id := range env.engines {
		if id != e.id && now.Sub(env.lastLoaded[id+"/"+o.Name]) <= 2*unreachableTimeout {
			return
		}
	}
	env.reportViolation("unload %s of %s sent without another copy", o.ID, o.Name)
}

func (s *procEngines) Order(ctx context.Context, addr string, o engine.Order) error {
	env := s.env
	if err := (*process)(s).waitWhilePaused(); err != nil {
		return err
	}
	env.mu.Lock()
	env.recordLoaded()
	e, f := env.engines[addr], env.faults
	s.checkSendRules(e, o)
	lost, late, dup, unanswered := env.chance(f.lost), env.chance(f.late), env.chance(f.duplicated), env.chance(f.unanswered)
	refused := env.chance(f.refused)
	delay := time.Duration(env.rng.Int64N(int64(40 * time.Second)))
	env.mu.Unlock()
	resend := func() { env.wg.Go(func() { time.Sleep(delay); _ = env.deliver(e, o) }) }
	switch {
	case refused:
		return engine.ErrOrderRefused
	case lost || late:
		if late {
			resend()
		}
		sleep(ctx, time.Second)
		return errAnswerLost
	case f.earlyConfirm && o.Kind == engine.OrderLoadModel:
		return env.confirmEarly(e, o, delay)
	case dup:
		resend()
	}
	result := make(chan error, 1)
	env.wg.Go(func() { result <- env.deliver(e, o) })
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-result:
		if gerr := (*process)(s).waitWhilePaused(); gerr != nil {
			return gerr
		}
		if unanswered {
			return errAnswerLost
		}
		return err
	}
}

// confirmEarly answers a load at once, although the load completes only after the delay.
func (env *testEnv) confirmEarly(e *fakeEngine, o engine.Order, delay time.Duration) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	boot := e.boot
	pending, err := env.accept(e, o)
	if pending {
		e.running--
		e.done = append(e.done, o.ID)
		env.wg.Go(func() {
			time.Sleep(delay)
			env.mu.Lock()
			defer env.mu.Unlock()
			if key := orderKey(o); e.boot == boot && e.memory[key] > 0 {
				e.loaded[key] = true
			}
		})
	}
	return err
}

// recordLoaded records the models that live engines have loaded now. The caller holds mu.
func (env *testEnv) recordLoaded() {
	for id, e := range env.engines {
		for key := range e.loaded {
			if name, ok := strings.CutPrefix(key, "model/"); ok && e.alive {
				env.lastLoaded[id+"/"+name] = time.Now()
			}
		}
	}
}

func (s *procEngines) Report(ctx context.Context, addr string) (engine.Report, error) {
	if err := (*process)(s).waitWhilePaused(); err != nil {
		return engine.Report{}, err
	}
	sleep(ctx, 2*time.Millisecond)
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	e := s.env.engines[addr]
	if !e.alive {
		return engine.Report{}, errAnswerLost
	}
	r := engine.Report{
		Boot: e.boot, Capacity: e.capacity, ChecksFence: e.fences, Epoch: e.epoch, Seq: e.seq,
		ExecutedOrders: slices.Clone(e.done),
	}
	for key := range e.memory {
		kind, name, _ := strings.Cut(key, "/")
		r.Residents = append(r.Residents, engine.Resident{
			Kind: kind, Name: name, Bytes: e.memory[key], Loading: !e.loaded[key] && !s.env.faults.earlyConfirm,
		})
	}
	return r, nil
}
