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
	// tickInterval is the interval at which the validity of the configuration is recorded and returns are
	// sent.
	tickInterval = 100 * time.Millisecond
)

// Config contains the dependencies and settings of a Manager.
type Config struct {
	View      confview.View
	Caller    peer.Caller
	Registrar peer.Registrar
	// NoLoans turns borrowing off, so that every host is limited to the tokens of its slots. Comparisons
	// use it as the baseline.
	NoLoans bool
	// Clock returns a monotonic time in nanoseconds, above zero. Nil selects the clock of the process.
	Clock func() int64
}

// Manager holds the buckets of this host. It is safe for concurrent use.
type Manager struct {
	view       confview.View
	caller     peer.Caller
	noLoans    bool
	clock      func() int64 // nanoseconds, monotonic, above zero
	boot       uint64       // random upper half of loan ids, so that returns meant for a previous incarnation are ignored
	lastLoanID atomic.Uint64
	table      atomic.Pointer[table]
	// validUntil is the last time at which the table in use was known to be in force.
	validUntil  atomic.Int64
	stripeCount int // per bucket
	startDelay  int64
	loanTTL     int64

	applyMu sync.Mutex // serialises applyTable
	// slotStart is the time from which each local slot generates tokens. Guarded by applyMu.
	slotStart    map[int]int64
	slotsVersion int64 // version of the slot table last applied; guarded by applyMu

	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup
	closed atomic.Bool
}

// table is the configuration as applied by applyTable. It is immutable except for the buckets.
type table struct {
	snap          *confview.Snapshot
	outage        bool
	nextSlotStart int64 // time at which the next slot starts to generate
	orgs          map[string]*bucket
	slotsByMember map[string]int // number of slots, without this host
}

// bucket is a Bucket with its stripes, lock, loan state and counters.
type bucket struct {
	name     string
	counters *counters
	// stripes can be spent from without mu.
	stripes stripes

	mu               sync.Mutex
	core             *Bucket
	rate, burst      int64 // of the organisation over all hosts
	usage            usage
	waiters          []*waiter
	borrowing        bool
	loanBackoffUntil int64 // no loans are requested until then
	spareByMember    map[string]spareEstimate
	pending          pending
	_                [64]byte // keeps locks of neighbouring buckets on separate cache lines
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
		boot: uint64(boot) << 32, stripeCount: maxStripes, startDelay: StartDelay, loanTTL: LoanTTL,
		slotStart: map[int]int64{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Close stops generating and spending, for a planned shutdown, and waits for returns that are being sent.
func (m *Manager) Close() {
	m.closed.Store(true)
	m.cancel()
	m.wg.Wait()
}

func (m *Manager) run() {
	defer m.wg.Done()
	changes, cancel := m.view.Subscribe()
	defer cancel()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-changes:
		case <-t.C:
			m.flush()
		}
		m.recordValidity()
	}
}

// recordValidity records that the table in use is in force now. It reads the clock before the status, so that
// the status was valid at the recorded time.
func (m *Manager) recordValidity() {
	now := m.clock()
	if _, err := m.current(now); err == nil {
		m.validUntil.Store(now)
	}
}

// current returns the table in force, or a refusal if the configuration is too old to spend. It reads the
// status before the snapshot, because a snapshot newer than the status is safe and an older one is not.
func (m *Manager) current(now int64) (*table, error) {
	status := m.view.Status()
	if !status.Serving() || m.closed.Load() {
		return nil, configStale(status)
	}
	snap := m.view.Snapshot()
	t := m.table.Load()
	if t != nil && t.snap == snap && t.outage == (status == confview.Outage) && now < t.nextSlotStart {
		return t, nil
	}
	return m.applyTable(now, snap, status == confview.Outage), nil
}

// configStale returns the refusal of a host whose configuration is too old to spend.
func configStale(status confview.Status) error {
	return &refusal.Error{
		Reason: refusal.ConfigStale, Run: refusal.NotRun, Status: http.StatusServiceUnavailable,
		Message:    "the configuration of this host is " + status.String(),
		Remedy:     "send the request again; the load balancer will choose another host",
		RetryAfter: time.Second,
	}
}

// applyTable installs a table made from snap and returns the table in use.
func (m *Manager) applyTable(now int64, snap *confview.Snapshot, outage bool) *table {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	old := m.table.Load()
	if old != nil && old.snap == snap && old.outage == outage && now < old.nextSlotStart {
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
		snap: snap, outage: outage, nextSlotStart: next,
		orgs: make(map[string]*bucket, len(snap.State.Organisations)), slotsByMember: map[string]int{},
	}
	for _, owner := range snap.Manifest.Slots.Owners {
		if owner != "" && owner != m.view.Self() {
			t.slotsByMember[owner]++
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
			b = newBucket(name, now, m.loanTTL, m.stripeCount)
		}
		slotFraction := float64(active) / float64(manifest.SlotCount)
		b.configure(validUntil, now, rate, burst, slotFraction)
		b.forgetMembers(t.slotsByMember)
		t.orgs[name] = b
	}
	m.table.Store(t)
	return t
}

// updateSlots sets the time from which each local slot generates tokens. The caller holds m.applyMu.
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
		// If this host missed a slot table, another host may have owned the slot meanwhile and may still spend.
		if !owned || !slots.OwnedSince(i, m.slotsVersion) {
			from = now + m.startDelay
		}
		started[i] = from
	}
	m.slotStart, m.slotsVersion = started, slots.Version
}

// restrict returns rate and burst, lowered to the limits that unresolved announcements set for the organisation.
func restrict(name string, rate, burst int64, rs []manifest.Restriction) (int64, int64) {
	for _, r := range rs {
		if l, ok := r.Rates[name]; ok {
			rate, burst = min(rate, l.Rate), min(burst, l.Burst)
		}
	}
	return rate, burst
}

func newBucket(name string, now, loanTTL int64, stripeCount int) *bucket {
	b := &bucket{name: name, counters: newCounters(name), core: NewBucket(now), spareByMember: map[string]spareEstimate{}}
	b.core.loanTTL = loanTTL
	b.stripes.init(stripeCount)
	return b
}

// configure sets the limits of the organisation, of which this host has slotFraction.
func (b *bucket) configure(validUntil, now, rate, burst int64, slotFraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate, b.burst = rate, burst
	r, c := float64(rate)*slotFraction, float64(burst)*slotFraction
	if r != b.core.rate || c != b.core.cap {
		b.reclaimStripes(min(validUntil, now))
		b.core.Configure(validUntil, now, r, c)
	}
}

// forgetMembers drops the spare estimates of members without slots. A replaced host gets a new id, so that
// estimates would accumulate.
func (b *bucket) forgetMembers(slotsByMember map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.spareByMember, func(member string, _ spareEstimate) bool { return slotsByMember[member] == 0 })
}

// Spend takes tokens of the organisation and borrows from other hosts if needed. It returns a refusal with
// the reason rate_exceeded and RetryAfter, burst_too_small, config_stale, not_allowed for an unknown
// organisation, or deadline_unreachable if ctx ends while it waits for loans.
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
	if m.noLoans || m.caller == nil || now < b.loanBackoffUntil || len(t.slotsByMember) == 0 {
		err := b.rateExceeded(now, tokens)
		b.mu.Unlock()
		return c, err
	}
	w := m.addWaiter(b, tokens)
	b.mu.Unlock()
	return m.await(ctx, b, w)
}

// spend takes tokens without waiting for loans and reports whether there were enough. The caller holds b.mu.
func (b *bucket) spend(now, tokens int64, c *Charge) bool {
	if !b.core.Spend(now, tokens, c) {
		if b.reclaimStripes(now); !b.core.Spend(now, tokens, c) {
			return false
		}
	}
	c.bucket = b
	b.usage.add(b.core.updatedAt, float64(tokens), 1)
	b.pending.spent += tokens
	b.refill(now, tokens)
	return true
}

// Refund ends a charge of which used tokens were used and puts the rest back. Only the first call has an effect.
func (m *Manager) Refund(c *Charge, used int64) {
	b := c.bucket
	if b == nil {
		return
	}
	now := m.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending.refunded += b.core.Refund(now, c, used)
}

func unknownOrganisation(name string) error {
	return &refusal.Error{
		Reason: refusal.NotAllowed, Run: refusal.NotRun, Status: http.StatusForbidden,
		Message: fmt.Sprintf("organisation %q is not configured", name),
		Remedy:  "ask the operators to configure the organisation",
	}
}

// burstTooSmall counts and returns the refusal of a charge above the burst, which no wait can satisfy. The
// caller holds b.mu.
func (b *bucket) burstTooSmall(tokens int64) error {
	b.counters.tooSmall.Inc()
	return &refusal.Error{
		Reason: refusal.BurstTooSmall, Run: refusal.NotRun, Status: http.StatusTooManyRequests,
		Message: fmt.Sprintf("the request may use %d tokens and the burst of %q is %d", tokens, b.name, b.burst),
		Remedy:  "ask for less output, shorten the prompt, or ask the operators for a higher burst",
	}
}

// rateExceeded counts and returns the refusal of a charge for which there are too few tokens. RetryAfter is
// the time until there are enough if no other request takes them. The caller holds b.mu.
func (b *bucket) rateExceeded(now, tokens int64) error {
	b.counters.exceeded.Inc()
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
