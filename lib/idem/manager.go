package idem

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/peer"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/sleep"
)

const (
	pollInterval      = 500 * time.Millisecond
	claimTimeout      = 500 * time.Millisecond // for a whole claim
	copyTimeout       = 200 * time.Millisecond // for the copy to the successor within a claim
	syncTimeout       = 700 * time.Millisecond // for transferring all records of a slot
	maxFinishAttempts = 6                      // one per second; if all fail, the claim counts as unknown after RunsFor
	// handoverWait is how long a claim is repeated, each handoverPoll, while its slot changes owner or successor. Both take
	// less while hosts reach each other.
	handoverWait = time.Second
	handoverPoll = 50 * time.Millisecond
	// maxClaimAge bounds the time between sending a claim and running the request. It is far below
	// Retention, after which another attempt may run.
	maxClaimAge = 30 * time.Second
)

// Config holds the dependencies and limits of a Manager.
type Config struct {
	View      confview.View
	Caller    peer.Caller
	Registrar peer.Registrar
	// MaxRecords and MaxBytes bound the memory for records and stored responses; zero means 100,000 records and
	// 16 MiB of responses.
	MaxRecords int
	MaxBytes   int64
	// AssumeEmpty states that no claims were made in the 15 min before this process started, as on the
	// first deployment. Without it, a host that owns a slot and finds no copies of its records refuses claims for
	// that long.
	AssumeEmpty bool
}

// Manager claims idempotency keys for this host's requests and decides on the claims of slots that this host owns.
// It is safe for concurrent use.
type Manager struct {
	view   confview.View
	caller peer.Caller
	start  time.Time

	mu    sync.Mutex
	store *Store // guarded by mu

	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	backgroundMu sync.Mutex // keeps background work from starting after Close has begun to wait
}

// New registers the RPC service "Idem" and starts the manager.
func New(cfg Config) (*Manager, error) {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = 100_000
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = 16 << 20
	}
	m := &Manager{
		view: cfg.View, caller: cfg.Caller, start: time.Now().Add(-time.Second),
		store: NewStore(cfg.View.Self(), rand.Uint64()|1, cfg.MaxRecords, cfg.MaxBytes),
	}
	m.store.assumeEmpty = cfg.AssumeEmpty
	if cfg.Registrar != nil {
		if err := cfg.Registrar.Register("Idem", &service{m}); err != nil {
			return nil, fmt.Errorf("idem: cannot register the service: %w", err)
		}
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Add(1)
	go m.run()
	return m, nil
}

// Close stops the manager and waits for its background work.
func (m *Manager) Close() {
	m.backgroundMu.Lock()
	m.cancel()
	m.backgroundMu.Unlock()
	m.wg.Wait()
}

// Drain waits until the new owners have taken the records of all slots that this host owned. It returns an error if
// ctx ends before. It is called after the slots were given up and before the mesh stops.
func (m *Manager) Drain(ctx context.Context) error {
	t := time.NewTicker(pollInterval / 10)
	defer t.Stop()
	for {
		m.mu.Lock()
		left := m.store.slotsNotTaken()
		m.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("idem: records of %d slots were not handed over: %w", left, ctx.Err())
		case <-t.C:
		}
	}
}

func (m *Manager) now() int64 { return int64(time.Since(m.start)) }

func (m *Manager) run() {
	defer m.wg.Done()
	changes, cancel := m.view.Subscribe()
	defer cancel()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		_ = m.refreshTable() // every claim checks the error itself
		m.mu.Lock()
		m.store.Expire(m.now())
		m.mu.Unlock()
		m.takeOver()
		m.syncSuccessors()
		select {
		case <-m.ctx.Done():
			return
		case <-changes:
		case <-t.C:
		}
	}
}

// refreshTable installs the slot table of the newest configuration. It returns a refusal if the configuration is too
// old to decide on claims.
func (m *Manager) refreshTable() error {
	status := m.view.Status() // read first, so that the snapshot is at least as new as the status
	snap := m.view.Snapshot()
	if !status.Serving() {
		return refuse(refusal.ConfigStale, http.StatusServiceUnavailable,
			"the configuration of this host is "+status.String(), "send the request again")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.store.SetTable(m.now(), Table(snap.Manifest.Slots))
	return nil
}

// announcedLost reports whether the status is an outage and an unresolved announcement takes the slot from its owner.
func (m *Manager) announcedLost(slot int) bool {
	if m.view.Status() != confview.Outage {
		return false
	}
	for _, r := range m.view.Snapshot().Restrictions {
		if slices.Contains(r.SlotsLost, slot) {
			return true
		}
	}
	return false
}

// takeOver asks the old owners and their successors for the records of slots that this host has come to own.
func (m *Manager) takeOver() {
	m.mu.Lock()
	pending := m.store.PendingTakeovers(m.now())
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range pending {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.takeSlot(p)
		}()
	}
	wg.Wait()
}

// takeSlot takes the records of one slot. It asks the old owner and the successor, so that both are fenced if
// possible. The answer of one is sufficient.
func (m *Manager) takeSlot(p Takeover) {
	ctx, cancel := context.WithTimeout(m.ctx, syncTimeout)
	defer cancel()
	members := []string{p.Owner, p.Successor}
	if p.Owner == p.Args.By {
		members = members[1:] // the old owner is this host; the records that it has are in the store already
	}
	replies := make([]TakeReply, len(members))
	var wg sync.WaitGroup
	for i, member := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i] = m.takeFrom(ctx, member, p.Args)
		}()
	}
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	// All records are merged before the slot becomes usable.
	var all TakeReply
	for _, r := range replies {
		if r.Known {
			all.Known = true
			all.Records = append(all.Records, r.Records...)
		} else {
			all.Wait = max(all.Wait, r.Wait)
		}
	}
	if m.store.CompleteTakeover(now, &p.Args, all) {
		takeovers.Inc()
	}
}

// takeFrom asks one member, which may be this host, for the records of a slot. The reply to a failed call is zero.
func (m *Manager) takeFrom(ctx context.Context, member string, args TakeArgs) (reply TakeReply) {
	switch member {
	case "":
	case m.view.Self():
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.store.Take(m.now(), &args)
	default:
		if m.caller.Call(ctx, member, "Idem.Take", &args, &reply) != nil {
			return TakeReply{}
		}
	}
	return reply
}

// syncSuccessors copies all records of a slot to its successor, for every slot whose successor does not have them.
func (m *Manager) syncSuccessors() {
	boots := map[string]string{}
	for _, member := range m.view.Members() {
		boots[member.ID] = member.Boot
	}
	m.mu.Lock()
	slots := m.store.UnsyncedSlots(boots)
	m.mu.Unlock()
	var wg sync.WaitGroup
	limit := make(chan struct{}, 8)
	for _, slot := range slots {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(m.ctx, syncTimeout)
			defer cancel()
			m.copyToSuccessor(ctx, slot, nil, boots)
			<-limit
		}()
	}
	wg.Wait()
}

// copyToSuccessor sends record r, or all records of the slot if the successor needs them. It returns the version of
// the slot table under which the successor acknowledged. If boots is not nil, it holds the boot id of each member
// from before the call, and the slot is marked as synced once the successor has acknowledged.
func (m *Manager) copyToSuccessor(
	ctx context.Context, slot int, r *Record, boots map[string]string,
) (version int64, ok bool) {
	m.mu.Lock()
	successor := m.store.table.Successor(slot)
	args := m.store.CopyMessage(m.now(), slot, r, 0)
	m.mu.Unlock()
	if successor == "" {
		return args.Version, true // no other host owns slots
	}
	for range 2 {
		var reply CopyReply
		if err := m.caller.Call(ctx, successor, "Idem.Copy", args, &reply); err != nil {
			return 0, false
		}
		if reply.OK {
			if boots != nil {
				m.mu.Lock()
				m.store.MarkSynced(slot, successor, boots[successor], args.Version)
				m.mu.Unlock()
			}
			return args.Version, true
		}
		if !reply.NeedFull {
			return 0, false
		}
		m.mu.Lock()
		version := args.Version
		args = m.store.CopyMessage(m.now(), slot, nil, reply.Nonce)
		changed := args.Version != version
		m.mu.Unlock()
		if changed {
			return 0, false
		}
	}
	return 0, false
}

// ClaimArgs asks the owner of the key's slot for permission to run.
type ClaimArgs struct {
	Key     Key
	Digest  [32]byte
	Claim   string
	RunsFor time.Duration
}

// ClaimReply is the owner's decision; Response is set for Replay.
type ClaimReply struct {
	Decision Decision
	Response Response
	// Passing states that a claim without permission to run may get it as soon as the records of its slot have changed hands.
	Passing bool
}

// FinishArgs reports the outcome of an attempt.
type FinishArgs struct {
	Key      Key
	Claim    string
	State    State
	Response Response
}

// FinishReply states whether the owner accepted the report.
type FinishReply struct{ OK bool }

// service is the RPC service "Idem".
type service struct{ m *Manager }

// Claim decides on an attempt as the owner of the slot.
func (s *service) Claim(args *ClaimArgs, reply *ClaimReply) error {
	*reply = s.m.claimAsOwner(args)
	return nil
}

// Copy stores copies of another owner's records.
func (s *service) Copy(args *CopyArgs, reply *CopyReply) error {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	*reply = s.m.store.AcceptCopy(s.m.now(), args)
	return nil
}

// Finish records the outcome of an attempt.
func (s *service) Finish(args *FinishArgs, reply *FinishReply) error {
	reply.OK = s.m.finishAsOwner(args)
	return nil
}

// Take hands out the records of a slot to its new owner.
func (s *service) Take(args *TakeArgs, reply *TakeReply) error {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	*reply = s.m.store.Take(s.m.now(), args)
	return nil
}

// claimAsOwner decides on a claim as the owner of the slot. It lets the request proceed only after the successor has
// acknowledged a copy of the record.
func (m *Manager) claimAsOwner(args *ClaimArgs) ClaimReply {
	slot := args.Key.Slot()
	if m.refreshTable() != nil || m.announcedLost(slot) {
		return ClaimReply{Decision: Unconfirmed}
	}
	m.mu.Lock()
	decision, rec := m.store.Claim(m.now(), args.Key, args.Digest, args.Claim, args.RunsFor)
	passing := m.store.passing(slot)
	m.mu.Unlock()
	if decision != Proceed {
		return ClaimReply{Decision: decision, Response: rec.Response, Passing: passing}
	}
	ctx, cancel := context.WithTimeout(m.ctx, copyTimeout)
	defer cancel()
	version, ok := m.copyToSuccessor(ctx, slot, &rec, nil)
	// The status may have changed during the copy.
	if ok && m.refreshTable() == nil && !m.announcedLost(slot) {
		m.mu.Lock()
		ok = m.store.Confirm(m.now(), args.Key, args.Claim, version)
		m.mu.Unlock()
		if ok {
			return ClaimReply{Decision: Proceed}
		}
	}
	copyFailures.Inc()
	m.finishAsOwner(&FinishArgs{Key: args.Key, Claim: args.Claim, State: Released})
	return ClaimReply{Decision: Unconfirmed, Passing: true}
}

// finishAsOwner records an outcome as the owner of the slot. It returns false if this host may not decide on claims of
// the slot. It copies the record to the successor in the background; without the copy, the successor has only the
// claim, which it reports as unknown.
func (m *Manager) finishAsOwner(args *FinishArgs) bool {
	slot := args.Key.Slot()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.store.checkOwnership(slot) != Proceed {
		return false
	}
	rec, changed := m.store.Finish(m.now(), args.Key, args.Claim, args.State, args.Response)
	if changed {
		m.background(func() {
			ctx, cancel := context.WithTimeout(m.ctx, syncTimeout)
			defer cancel()
			m.copyToSuccessor(ctx, slot, &rec, nil)
		})
	}
	return true
}

// background runs fn in a goroutine that Close waits for, unless Close was called.
func (m *Manager) background(fn func()) {
	m.backgroundMu.Lock()
	defer m.backgroundMu.Unlock()
	if m.ctx.Err() != nil {
		return
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		fn()
	}()
}

// Claim is the permission to run a request once. Exactly one of its methods is called.
type Claim struct {
	m    *Manager
	key  Key
	id   string
	sent time.Time
}

// Claim asks for permission to run a request. It returns a Claim, or the stored response of an earlier attempt, or a refusal. It
// waits up to handoverWait for a slot that changes hands. runsFor bounds how long the attempt may take.
func (m *Manager) Claim(
	ctx context.Context, key Key, digest [32]byte, runsFor time.Duration,
) (*Claim, *Response, error) {
	for start := time.Now(); ; {
		if err := m.refreshTable(); err != nil {
			return nil, nil, err
		}
		c := &Claim{m: m, key: key, id: uuid.NewString(), sent: time.Now()}
		reply := c.ask(ctx, digest, runsFor)
		if reply.Passing && time.Since(start) < handoverWait && sleep.For(ctx, handoverPoll) {
			continue
		}
		countDecision(reply.Decision)
		switch reply.Decision {
		case Proceed:
			return c, nil, nil
		case Replay:
			return nil, &reply.Response, nil
		}
		return nil, nil, refusalFor(reply.Decision)
	}
}

// ask asks the owner of the key's slot once.
func (c *Claim) ask(ctx context.Context, digest [32]byte, runsFor time.Duration) ClaimReply {
	m := c.m
	args := &ClaimArgs{Key: c.key, Digest: digest, Claim: c.id, RunsFor: runsFor}
	reply := ClaimReply{Decision: Unconfirmed}
	switch owner := m.owner(c.key); owner {
	case "":
	case m.view.Self():
		reply = m.claimAsOwner(args)
	default:
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		var r ClaimReply
		if err := m.caller.Call(ctx, owner, "Idem.Claim", args, &r); err == nil {
			reply = r
		} else {
			// The owner may have recorded the claim although the call failed.
			c.finish(Released, Response{})
		}
	}
	if reply.Decision == Proceed && time.Since(c.sent) > maxClaimAge {
		c.finish(Released, Response{})
		reply.Decision = Unconfirmed
	}
	return reply
}

func (m *Manager) owner(key Key) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.store.table.Owner(key.Slot())
}

// Done stores the response.
func (c *Claim) Done(r Response) { c.finish(Done, r) }

// Unknown records that the request may have run.
func (c *Claim) Unknown() { c.finish(Unknown, Response{}) }

// Release records that the request provably did not run.
func (c *Claim) Release() { c.finish(Released, Response{}) }

// finish reports the outcome to the owner of the slot. If the owner is another host, it does so in the background
// with up to maxFinishAttempts attempts, each of which looks the owner up again.
func (c *Claim) finish(state State, r Response) {
	args := &FinishArgs{Key: c.key, Claim: c.id, State: state, Response: r}
	if len(r.Body) > MaxBodyBytes {
		args.Response.Body = r.Body[:MaxBodyBytes+1] // one byte too many, so that the owner records it as too large
	}
	m := c.m
	if m.owner(c.key) == m.view.Self() && m.finishAsOwner(args) {
		return
	}
	m.background(func() {
		for range maxFinishAttempts {
			if c.sendOutcome(args) {
				return
			}
			select {
			case <-m.ctx.Done():
				return
			case <-time.After(time.Second):
			}
		}
	})
}

// sendOutcome makes one attempt to report the outcome to the present owner, and reports whether it succeeded.
func (c *Claim) sendOutcome(args *FinishArgs) bool {
	m := c.m
	owner := m.owner(c.key)
	if owner == m.view.Self() {
		return m.finishAsOwner(args)
	}
	if owner == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(m.ctx, claimTimeout)
	defer cancel()
	var reply FinishReply
	return m.caller.Call(ctx, owner, "Idem.Finish", args, &reply) == nil && reply.OK
}

func refuse(reason refusal.Reason, status int, message, remedy string) error {
	return &refusal.Error{
		Reason: reason, Run: refusal.NotRun, Status: status, Message: message, Remedy: remedy,
		RetryAfter: time.Second,
	}
}

// refusalFor returns the refusal for a decision other than Proceed and Replay. Its message and run state cover
// earlier attempts with the same key as well as this one.
func refusalFor(d Decision) error {
	var e *refusal.Error
	switch d {
	case InProgress:
		e = &refusal.Error{
			Reason: refusal.InProgress, Run: refusal.RunUnknown, Status: http.StatusConflict,
			Message: "an earlier request with this idempotency key is in progress",
			Remedy:  "send the same request again after the stated time", RetryAfter: time.Second,
		}
	case OutcomeUnknown:
		e = &refusal.Error{
			Reason: refusal.OutcomeUnknown, Run: refusal.RunUnknown, Status: http.StatusConflict,
			Message: "an earlier request with this idempotency key may have run",
			Remedy:  "find out at the service whether it ran; use a new key only if it did not",
		}
	case ResponseNotKept:
		e = &refusal.Error{
			Reason: refusal.OutcomeUnknown, Run: refusal.RunUnknown, Status: http.StatusConflict,
			Message: "an earlier request with this idempotency key was answered and its response was not kept",
			Remedy:  "read the result at the service; do not send the request again",
		}
	case KeyReused:
		e = &refusal.Error{
			Reason: refusal.IdempotencyKeyReused, Run: refusal.NotRun, Status: http.StatusUnprocessableEntity,
			Message: "the idempotency key was used for a request with other content",
			Remedy:  "use a new idempotency key for each request",
		}
	case MemoryFull:
		return refuse(refusal.IdempotencyUnconfirmed, http.StatusServiceUnavailable,
			"this deployment holds as many idempotency records as its memory bound allows",
			"send the request again later")
	default:
		return refuse(refusal.IdempotencyUnconfirmed, http.StatusServiceUnavailable,
			"whether an earlier request with this idempotency key ran cannot be known at present",
			"send the same request again with the same key after the stated time")
	}
	return e
}

var (
	takeovers    = metrics.NewCounter("cuminhook_idem_takeovers_total")
	copyFailures = metrics.NewCounter("cuminhook_idem_copy_failures_total")
	decisions    = map[Decision]*metrics.Counter{}
)

func init() {
	for d, name := range map[Decision]string{
		Proceed: "proceed", Replay: "replay", InProgress: "in_progress", OutcomeUnknown: "outcome_unknown",
		KeyReused: "key_reused", Unconfirmed: "unconfirmed", NotOwner: "not_owner", MemoryFull: "full",
		ResponseNotKept: "response_not_kept",
	} {
		decisions[d] = metrics.NewCounter(fmt.Sprintf("cuminhook_idem_claims_total{decision=%q}", name))
	}
}

func countDecision(d Decision) {
	if c := decisions[d]; c != nil {
		c.Inc()
	}
}
