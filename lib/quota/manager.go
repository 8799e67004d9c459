package quota

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/peer"
	"cuminhook.org/cuminhook/lib/refusal"
)

const (
	// tick is how often validity of the configuration is recorded and returns are sent.
	tick = 100 * time.Millisecond
)

// Config is what a Manager needs.
type Config struct {
	View      confview.View
	Caller    peer.Caller
	Registrar peer.Registrar
	// NoLoans turns borrowing off; it is the baseline with static shares.
	NoLoans bool
	// Clock returns monotonic nanoseconds, above zero; nil uses the process's clock.
	Clock func() int64
}

// Manager holds the buckets of this host. It is safe for concurrent use.
type Manager struct {
	view    confview.View
	caller  peer.Caller
	noLoans bool
	clock   func() int64 // nanoseconds, monotonic, above zero
	boot    uint64       // random upper half of loan ids, so that returns to an earlier process are ignored
	loans   atomic.Uint64
	table   atomic.Pointer[table]
	// validUntil is the last time at which the table in use was known to be in force.
	validUntil atomic.Int64
	stripes    int // per bucket
	startDelay int64
	loanLife   int64

	apply sync.Mutex // held while a new table is made
	// slotStart is the time from which each slot owned generates; unowned slots are absent. Guarded by
	// apply.
	slotStart map[int]int64
	version   int64 // of the slot table last applied; guarded by apply

	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup
	closed atomic.Bool
}

// table is the configuration as applied. It is immutable but for the buckets.
type table struct {
	snap   *confview.Snapshot
	outage bool
	next   int64 // time at which a further slot starts to generate
	orgs   map[string]*bucket
	owners map[string]int // slots per member, without this host
}

// bucket is a Bucket with its lock, loan state and counters.
type bucket struct {
	name string
	met  *counters
	// stripes are spent from without mu.
	stripes stripes

	mu          sync.Mutex
	core        *Bucket
	rate, burst int64 // of the organisation over all hosts
	use         usage
	waiters     []*waiter
	borrowing   bool
	noLoanUntil int64 // a recent loan round gave less than needed
	spare       map[string]estimate
	pend        pending
	_           [64]byte // keeps locks of neighbouring buckets on separate cache lines
}

// New registers the RPC service "Quota" and starts the manager.
func New(cfg Config) (*Manager, error) {
	if cfg.Clock == nil {
		start := time.Now()
		cfg.Clock = func() int64 { return int64(time.Since(start)) + second }
	}
	m := newManager(cfg, rand.Uint32())
	if cfg.Registrar != nil {
		if err := cfg.Registrar.Register("Quota", &service{m}); err != nil {
			return nil, fmt.Errorf("quota: cannot register the service: %w", err)
		}
	}
	m.wg.Add(1)
	go m.run()
	return m, nil
}

func newManager(cfg Config, boot uint32) *Manager {
	m := &Manager{
		view: cfg.View, caller: cfg.Caller, noLoans: cfg.NoLoans, clock: cfg.Clock,
		boot: uint64(boot) << 32, stripes: maxStripes, startDelay: StartDelay, loanLife: LoanLife, slotStart: map[int]int64{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Close stops generating and spending, for a planned stop.
func (m *Manager) Close() {
	m.closed.Store(true)
	m.cancel()
	m.wg.Wait()
}

func (m *Manager) run() {
	defer m.wg.Done()
	changes, cancel := m.view.Subscribe()
	defer cancel()
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-changes:
		case <-t.C:
			m.flush()
		}
		m.observe()
	}
}

// observe records that the table in use is in force. The time is taken before the status, so that the
// status covers it.
func (m *Manager) observe() {
	now := m.clock()
	if _, err := m.current(now); err == nil {
		m.validUntil.Store(now)
	}
}

// current returns the table in force, or a refusal when the configuration is too old to spend. The
// status is read before the snapshot: a snapshot newer than the status is safe, an older one is not.
func (m *Manager) current(now int64) (*table, error) {
	status := m.view.Status()
	if !status.Serving() || m.closed.Load() {
		return nil, stale(status)
	}
	snap := m.view.Snapshot()
	t := m.table.Load()
	if t != nil && t.snap == snap && t.outage == (status == confview.Outage) && now < t.next {
		return t, nil
	}
	return m.applyTable(now, snap, status == confview.Outage), nil
}

func stale(status confview.Status) error {
	return &refusal.Error{
		Reason: refusal.ConfigStale, Run: refusal.NotRun, Status: http.StatusServiceUnavailable,
		Message:    "the configuration of this host is " + status.String(),
		Remedy:     "send the request again; the load balancer will choose another host",
		RetryAfter: time.Second,
	}
}

// applyTable makes snap the table in use.
func (m *Manager) applyTable(now int64, snap *confview.Snapshot, outage bool) *table {
	m.apply.Lock()
	defer m.apply.Unlock()
	old := m.table.Load()
	if old != nil && old.snap == snap && old.outage == outage && now < old.next {
		return old
	}
	if old != nil && snap.Manifest.Revision < old.snap.Manifest.Revision {
		return old // another goroutine read the view later than this one
	}
	m.updateSlots(now, snap, outage)
	active, next := 0, int64(math.MaxInt64)
	for _, from := range m.slotStart {
		if from <= now {
			active++
		} else {
			next = min(next, from)
		}
	}
	t := &table{
		snap: snap, outage: outage, next: next,
		orgs: make(map[string]*bucket, len(snap.State.Organisations)), owners: map[string]int{},
	}
	for _, owner := range snap.Manifest.Slots.Owners {
		if owner != "" && owner != m.view.Self() {
			t.owners[owner]++
		}
	}
	validUntil := m.validUntil.Load()
	for name, org := range snap.State.Organisations {
		rate, burst := org.Rate, org.Burst
		if outage {
			rate, burst = restrict(name, rate, burst, snap.Restrictions)
		}
		var b *bucket
		if old != nil {
			b = old.orgs[name]
		}
		if b == nil {
			b = newBucket(name, now, m.loanLife, m.stripes)
		}
		part := float64(active) / float64(manifest.SlotCount)
		b.configure(validUntil, now, rate, burst, part)
		b.forgetMembers(t.owners)
		t.orgs[name] = b
	}
	m.table.Store(t)
	return t
}

// updateSlots decides from when each slot generates. Callers hold m.apply.
func (m *Manager) updateSlots(now int64, snap *confview.Snapshot, outage bool) {
	slots := snap.Manifest.Slots
	lost := map[int]bool{}
	if outage {
		for _, r := range snap.Restrictions {
			for _, i := range r.SlotsLost {
				lost[i] = true
			}
		}
	}
	started := make(map[int]int64, len(slots.Owners))
	for i, owner := range slots.Owners {
		if owner != m.view.Self() || lost[i] {
			continue
		}
		from, owned := m.slotStart[i]
		// If this host missed a table, the slot may have had another owner, who may still spend.
		if !owned || !slots.Kept(i, m.version) {
			from = now + m.startDelay
		}
		started[i] = from
	}
	m.slotStart, m.version = started, slots.Version
}

// restrict applies the lower limits of unresolved announcements.
func restrict(name string, rate, burst int64, rs []manifest.Restriction) (int64, int64) {
	for _, r := range rs {
		if l, ok := r.Rates[name]; ok {
			rate, burst = min(rate, l.Rate), min(burst, l.Burst)
		}
	}
	return rate, burst
}

func newBucket(name string, now, loanLife int64, stripes int) *bucket {
	b := &bucket{name: name, met: newCounters(name), core: NewBucket(now), spare: map[string]estimate{}}
	b.core.loanLife = loanLife
	b.stripes.init(stripes)
	return b
}

func (b *bucket) configure(validUntil, now, rate, burst int64, part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate, b.burst = rate, burst
	r, c := float64(rate)*part, float64(burst)*part
	if r != b.core.rate || c != b.core.cap {
		b.foldAll(min(validUntil, now))
		b.core.Configure(validUntil, now, r, c)
	}
}

// forgetMembers drops what members without slots last said. Host ids change with each replaced host.
func (b *bucket) forgetMembers(owners map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.spare, func(member string, _ estimate) bool { return owners[member] == 0 })
}

// Spend takes tokens of the organisation, with loans from other hosts if needed. It returns a refusal
// rate_exceeded with RetryAfter, burst_too_small, or config_stale.
func (m *Manager) Spend(ctx context.Context, organisation string, tokens int64) (Charge, error) {
	var c Charge
	if tokens <= 0 {
		return c, nil
	}
	now := m.clock()
	t, err := m.current(now)
	if err != nil {
		return c, err
	}
	b := t.orgs[organisation]
	if b == nil {
		return c, unknownOrganisation(organisation)
	}
	if b.spendFast(now, tokens, &c) {
		return c, nil
	}
	b.mu.Lock()
	if tokens > b.burst {
		err := b.burstTooSmall(tokens)
		b.mu.Unlock()
		return c, err
	}
	if b.spend(now, tokens, &c) {
		b.mu.Unlock()
		return c, nil
	}
	if m.noLoans || m.caller == nil || now < b.noLoanUntil || len(t.owners) == 0 {
		err := b.rateExceeded(now, tokens)
		b.mu.Unlock()
		return c, err
	}
	w := m.wait(b, tokens)
	b.mu.Unlock()
	return m.await(ctx, b, w)
}

// spend takes tokens at once. Callers hold b.mu.
func (b *bucket) spend(now, tokens int64, c *Charge) bool {
	if !b.core.Spend(now, tokens, c) {
		if b.foldAll(now); !b.core.Spend(now, tokens, c) {
			return false
		}
	}
	c.bucket = b
	b.use.add(b.core.at, float64(tokens), 1)
	b.pend.spent += tokens
	b.refill(now, tokens)
	return true
}

// Refund ends a charge of which used tokens were used. Only the first call has an effect.
func (m *Manager) Refund(c *Charge, used int64) {
	b := c.bucket
	if b == nil {
		return
	}
	now := m.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pend.refunded += b.core.Refund(now, c, used)
}

func unknownOrganisation(name string) error {
	return &refusal.Error{
		Reason: refusal.NotAllowed, Run: refusal.NotRun, Status: http.StatusForbidden,
		Message: fmt.Sprintf("organisation %q is not configured", name),
		Remedy:  "ask the operators to configure the organisation",
	}
}

// burstTooSmall is the refusal of a charge that no wait can satisfy. Callers hold b.mu.
func (b *bucket) burstTooSmall(tokens int64) error {
	b.met.tooSmall.Inc()
	return &refusal.Error{
		Reason: refusal.BurstTooSmall, Run: refusal.NotRun, Status: http.StatusTooManyRequests,
		Message: fmt.Sprintf("the request may use %d tokens and the burst of %q is %d", tokens, b.name, b.burst),
		Remedy:  "ask for less output, shorten the prompt, or ask the operators for a higher burst",
	}
}

// rateExceeded tells when the tokens will be there if nobody else takes them. Callers hold b.mu.
func (b *bucket) rateExceeded(now, tokens int64) error {
	b.met.exceeded.Inc()
	wait := time.Minute
	if b.rate > 0 {
		short := float64(tokens) - b.available(now)
		wait = min(wait, time.Duration(short/float64(b.rate)*float64(time.Second)))
	}
	return &refusal.Error{
		Reason: refusal.RateExceeded, Run: refusal.NotRun, Status: http.StatusTooManyRequests,
		Message:    fmt.Sprintf("organisation %q has no tokens left; its rate is %d a second", b.name, b.rate),
		Remedy:     "send the request again after the stated time",
		RetryAfter: max(wait, 10*time.Millisecond),
	}
}
