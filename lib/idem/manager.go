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
)

const (
	poll         = 500 * time.Millisecond
	claimTimeout = 500 * time.Millisecond // the whole claim
	copyTimeout  = 200 * time.Millisecond // the copy to the successor within it
	syncTimeout  = 700 * time.Millisecond // all records of a slot
	finishTries  = 6                      // one a second; then the record becomes unknown by itself
	// maxClaimAge bounds the time between sending a claim and running the request. It is far below
	// Retention, after which another attempt may run.
	maxClaimAge = 30 * time.Second
)

// Config is what a Manager needs.
type Config struct {
	View      confview.View
	Caller    peer.Caller
	Registrar peer.Registrar
	// MaxRecords and MaxBytes bound the memory; zero means 100,000 records and 16 MB of responses.
	MaxRecords int
	MaxBytes   int64
	// AssumeEmpty states that no claims were made in the 15 min before this process started, as on the
	// first deployment. Without it a host that finds itself owner and no copies refuses for that long.
	AssumeEmpty bool
}

// Manager claims idempotency keys. It is safe for concurrent use.
type Manager struct {
	view   confview.View
	caller peer.Caller
	start  time.Time

	mu    sync.Mutex
	store *Store // guarded by mu

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	bg     sync.Mutex // orders the start of background work before Close
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

// Close stops the manager.
func (m *Manager) Close() {
	m.bg.Lock()
	m.cancel()
	m.bg.Unlock()
	m.wg.Wait()
}

// Drain returns once the new owners have taken the records of all slots that this host owned, or ctx
// ends. It is called after the slots were given up and before the mesh stops.
func (m *Manager) Drain(ctx context.Context) error {
	t := time.NewTicker(poll / 10)
	defer t.Stop()
	for {
		m.mu.Lock()
		left := m.store.held()
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
	t := time.NewTicker(poll)
	defer t.Stop()
	for {
		_ = m.refresh() // claims check it themselves
		m.mu.Lock()
		m.store.Expire(m.now())
		m.mu.Unlock()
		m.takeOver()
		m.syncAll()
		select {
		case <-m.ctx.Done():
			return
		case <-changes:
		case <-t.C:
		}
	}
}

// refresh installs the slot table in force. It refuses when the configuration is too old to decide on
// claims.
func (m *Manager) refresh() error {
	status := m.view.Status() // before the snapshot, which may only be newer
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

// given reports whether an unresolved announcement gives the slot to another host.
func (m *Manager) given(slot int) bool {
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

// takeOver asks old owners and successors for the records of newly owned slots.
func (m *Manager) takeOver() {
	m.mu.Lock()
	pending := m.store.Pending(m.now())
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

// takeSlot asks both sources, so that both are fenced if possible. Either alone is sufficient.
func (m *Manager) takeSlot(p Takeover) {
	ctx, cancel := context.WithTimeout(m.ctx, syncTimeout)
	defer cancel()
	members := []string{p.Owner, p.Successor}
	if p.Owner == p.Args.By {
		members = members[1:] // a former life; what this process holds is installed already
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
	if m.store.Install(now, &p.Args, all) {
		takeovers.Inc()
	}
}

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

// syncAll sends all records of slots whose successor does not hold them.
func (m *Manager) syncAll() {
	boots := map[string]string{}
	for _, member := range m.view.Members() {
		boots[member.ID] = member.Boot
	}
	m.mu.Lock()
	slots := m.store.Unsynced(boots)
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
			m.copy(ctx, slot, nil, boots)
			<-limit
		}()
	}
	wg.Wait()
}

// copy sends record r, and all records of the slot if the successor needs them. It returns the table
// version under which the successor acknowledged. Boots, if not nil, holds the members' lives known
// before the call.
func (m *Manager) copy(
	ctx context.Context, slot int, r *Record, boots map[string]string,
) (version int64, ok bool) {
	m.mu.Lock()
	successor := m.store.table.Successor(slot)
	args := m.store.CopyFor(m.now(), slot, r, 0)
	m.mu.Unlock()
	if successor == "" {
		return args.Version, true // the only host that owns slots
	}
	for range 2 {
		var reply CopyReply
		if err := m.caller.Call(ctx, successor, "Idem.Copy", args, &reply); err != nil {
			return 0, false
		}
		if reply.OK {
			if boots != nil {
				m.mu.Lock()
				m.store.Synced(slot, successor, boots[successor], args.Version)
				m.mu.Unlock()
			}
			return args.Version, true
		}
		if !reply.NeedFull {
			return 0, false
		}
		m.mu.Lock()
		version := args.Version
		args = m.store.CopyFor(m.now(), slot, nil, reply.Nonce)
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
}

// FinishArgs reports the outcome of an attempt.
type FinishArgs struct {
	Key      Key
	Claim    string
	State    State
	Response Response
}

// FinishReply tells whether the owner took the report.
type FinishReply struct{ OK bool }

// service is the RPC service "Idem".
type service struct{ m *Manager }

// Claim decides on an attempt as the owner of the slot.
func (s *service) Claim(args *ClaimArgs, reply *ClaimReply) error {
	*reply = s.m.claimHere(args)
	return nil
}

// Copy stores copies for another owner.
func (s *service) Copy(args *CopyArgs, reply *CopyReply) error {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	*reply = s.m.store.AcceptCopy(s.m.now(), args)
	return nil
}

// Finish records the outcome of an attempt.
func (s *service) Finish(args *FinishArgs, reply *FinishReply) error {
	reply.OK = s.m.finishHere(args)
	return nil
}

// Take hands out the records of a slot to its new owner.
func (s *service) Take(args *TakeArgs, reply *TakeReply) error {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	*reply = s.m.store.Take(s.m.now(), args)
	return nil
}

func (m *Manager) claimHere(args *ClaimArgs) ClaimReply {
	slot := args.Key.Slot()
	if m.refresh() != nil || m.given(slot) {
		return ClaimReply{Decision: Unconfirmed}
	}
	m.mu.Lock()
	decision, rec := m.store.Claim(m.now(), args.Key, args.Digest, args.Claim, args.RunsFor)
	m.mu.Unlock()
	if decision != Proceed {
		return ClaimReply{Decision: decision, Response: rec.Response}
	}
	ctx, cancel := context.WithTimeout(m.ctx, copyTimeout)
	defer cancel()
	version, ok := m.copy(ctx, slot, &rec, nil)
	// The status is checked again right before permission is given.
	if ok && m.refresh() == nil && !m.given(slot) {
		m.mu.Lock()
		ok = m.store.Confirm(m.now(), args.Key, args.Claim, version)
		m.mu.Unlock()
		if ok {
			return ClaimReply{Decision: Proceed}
		}
	}
	copyFailures.Inc()
	m.finishHere(&FinishArgs{Key: args.Key, Claim: args.Claim, State: Released})
	return ClaimReply{Decision: Unconfirmed}
}

// finishHere records an outcome as the owner and copies it in the background: without the copy the
// successor holds a claim, which it reports as unknown.
func (m *Manager) finishHere(args *FinishArgs) bool {
	slot := args.Key.Slot()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.store.usable(slot) != Proceed {
		return false
	}
	rec, changed := m.store.Finish(m.now(), args.Key, args.Claim, args.State, args.Response)
	if changed {
		m.background(func() {
			ctx, cancel := context.WithTimeout(m.ctx, syncTimeout)
			defer cancel()
			m.copy(ctx, slot, &rec, nil)
		})
	}
	return true
}

func (m *Manager) background(fn func()) {
	m.bg.Lock()
	defer m.bg.Unlock()
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

// Claim asks for permission to run a request. It returns a Claim, or the stored response of an earlier
// attempt, or a refusal. RunsFor bounds how long the attempt may take.
func (m *Manager) Claim(
	ctx context.Context, key Key, digest [32]byte, runsFor time.Duration,
) (*Claim, *Response, error) {
	if err := m.refresh(); err != nil {
		return nil, nil, err
	}
	c := &Claim{m: m, key: key, id: uuid.NewString(), sent: time.Now()}
	owner := m.owner(key)
	args := &ClaimArgs{Key: key, Digest: digest, Claim: c.id, RunsFor: runsFor}
	reply := ClaimReply{Decision: Unconfirmed}
	switch owner {
	case "":
	case m.view.Self():
		reply = m.claimHere(args)
	default:
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		var r ClaimReply
		if err := m.caller.Call(ctx, owner, "Idem.Claim", args, &r); err == nil {
			reply = r
		} else {
			// The owner may have recorded the claim.
			c.finish(Released, Response{})
		}
	}
	if reply.Decision == Proceed && time.Since(c.sent) > maxClaimAge {
		c.finish(Released, Response{})
		reply.Decision = Unconfirmed
	}
	decided(reply.Decision)
	switch reply.Decision {
	case Proceed:
		return c, nil, nil
	case Replay:
		return nil, &reply.Response, nil
	}
	return nil, nil, refusalFor(reply.Decision)
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

// finish reports the outcome to the owner, in the background and with a few attempts, also when the slot
// changes its owner meanwhile.
func (c *Claim) finish(state State, r Response) {
	args := &FinishArgs{Key: c.key, Claim: c.id, State: state, Response: r}
	if len(r.Body) > MaxBody {
		args.Response.Body = r.Body[:MaxBody+1] // the owner notes that it is too large
	}
	m := c.m
	if m.owner(c.key) == m.view.Self() && m.finishHere(args) {
		return
	}
	m.background(func() {
		for range finishTries {
			if c.tryFinish(args) {
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

func (c *Claim) tryFinish(args *FinishArgs) bool {
	m := c.m
	owner := m.owner(c.key)
	if owner == m.view.Self() {
		return m.finishHere(args)
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

// refusalFor returns the refusal for a decision against running. In its message and run state it speaks
// of earlier attempts as well as of this one.
func refusalFor(d Decision) error {
	var e *refusal.Error
	switch d {
	case InProgress:
		e = &refusal.Error{
			Reason: refusal.InProgress, Run: refusal.Unknown, Status: http.StatusConflict,
			Message: "an earlier request with this idempotency key is in progress",
			Remedy:  "send the same request again after the stated time", RetryAfter: time.Second,
		}
	case Uncertain:
		e = &refusal.Error{
			Reason: refusal.OutcomeUnknown, Run: refusal.Unknown, Status: http.StatusConflict,
			Message: "an earlier request with this idempotency key may have run",
			Remedy:  "find out at the service whether it ran; use a new key only if it did not",
		}
	case TooLarge:
		e = &refusal.Error{
			Reason: refusal.OutcomeUnknown, Run: refusal.Unknown, Status: http.StatusConflict,
			Message: "an earlier request with this idempotency key was answered and its response was not kept",
			Remedy:  "read the result at the service; do not send the request again",
		}
	case KeyReused:
		e = &refusal.Error{
			Reason: refusal.IdempotencyKeyReused, Run: refusal.NotRun, Status: http.StatusUnprocessableEntity,
			Message: "the idempotency key was used for a request with other content",
			Remedy:  "use a new idempotency key for each request",
		}
	case Full:
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
		Proceed: "proceed", Replay: "replay", InProgress: "in_progress", Uncertain: "outcome_unknown",
		KeyReused: "key_reused", Unconfirmed: "unconfirmed", NotOwner: "not_owner", Full: "full",
		TooLarge: "response_not_kept",
	} {
		decisions[d] = metrics.NewCounter(fmt.Sprintf("cuminhook_idem_claims_total{decision=%q}", name))
	}
}

func decided(d Decision) {
	if c := decisions[d]; c != nil {
		c.Inc()
	}
}
