// Package ratekeeper keeps each organisation within its rate over all hosts. One host of the mesh, the organisation's keeper, holds its token
// bucket, and the others ask it for the tokens of each request. What all hosts spend so never exceeds what there is, and an organisation
// within its rate is admitted at any host, however uneven its demand.
//
// A request waits for the answer of a keeper, normally one round trip. Where the keeper is silent, the next host in the order of candidates
// asks it once more and then takes its place. A host that no candidate answers spends an equal part of the rate, and reports what it has spent.
package ratekeeper

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/catalog"
)

const (
	// resendDelay is the time without an answer after which an ask goes to the next candidate. Hosts answer within a few milliseconds, unless
	// they wait for the processor.
	resendDelay = 80 * time.Millisecond
	// silentAfter is the time in which nothing arrives from a keeper until another host takes its place: several states of the mesh. Two keepers
	// at a time grant too much.
	silentAfter = 700 * time.Millisecond
	// askTimeout bounds the wait for an answer. It covers silentAfter: for callers that wait is better than a refusal.
	askTimeout = time.Second
	// silentTime is how long a candidate that did not answer is passed over by hosts that do not hear its states. One ask then tries it again.
	silentTime = time.Second
	// refusalHoldPerHost is how long a host refuses by itself after the keeper has refused, for each host. It bounds the asks for an organisation
	// above its rate to 2,000 a second, however many hosts there are.
	refusalHoldPerHost = 500 * time.Microsecond
	// answeredTTL is how long a keeper remembers its answers: an ask may arrive on several ways.
	answeredTTL = time.Second
	// maxRelays bounds the asks that a host passes on at the same time.
	maxRelays = 256
)

// Candidate is a host that may keep organisations.
type Candidate struct {
	Host      string
	Reachable bool      // as far as this host knows
	Heard     time.Time // when its latest state arrived; zero at hosts that get no states of it
}

// Config are the settings and dependencies of Keepers.
type Config struct {
	Host string
	// Candidates returns the hosts that may keep the organisation, in the same order at all hosts.
	Candidates func(organisation string) []Candidate
	// Organisation returns the organisation of that name in the configuration in force, or nil.
	Organisation func(name string) *catalog.Organisation
	Send         func(host string, data []byte) error // the message may be lost
	Log          *slog.Logger
	Metrics      *metrics.Set
	Random       func() float64 // uniform in [0, 1); nil: the default source
}

// Keepers is this host's part in keeping organisations within their rates. It is safe for concurrent use.
type Keepers struct {
	cfg     Config
	host    string
	started time.Time
	relays  chan struct{}

	mu        sync.Mutex
	hosts     int                     // guarded by mu; known, including this one
	reachable int                     // guarded by mu; including this one
	ranAt     time.Time               // guarded by mu; latest sign that this process runs
	keptSince time.Time               // guarded by mu; from when on a pool that is not known may be filled
	pools     map[string]*pool        // guarded by mu; by organisation, of those that this host keeps
	shares    map[string]*share       // guarded by mu; by organisation
	refused   map[string]refused      // guarded by mu; by organisation
	silent    map[string]silence      // guarded by mu; candidates that left an ask unanswered
	heard     map[string]time.Time    // guarded by mu; when the latest message of a host arrived
	reports   map[string]reported     // guarded by mu; by host
	waiting   map[askKey]chan message // guarded by mu; asks of this host without an answer
	answered  map[askKey]message      // guarded by mu; answers of this host
	expiring  []expiringAnswer        // guarded by mu; oldest first
	lastID    uint64                  // guarded by mu
	asks      func(string) *metrics.Counter
}

// refused is a refusal of the keeper that this host repeats.
type refused struct{ until, admittedAt time.Time }

type askKey struct {
	origin string
	id     uint64
}

type expiringAnswer struct {
	key askKey
	at  time.Time
}

// New returns the part of a host that starts now and knows no other host.
func New(cfg Config) *Keepers {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	now := time.Now()
	return &Keepers{
		cfg: cfg, host: cfg.Host, started: now, relays: make(chan struct{}, maxRelays), hosts: 1, reachable: 1, ranAt: now, keptSince: now,
		pools: map[string]*pool{}, shares: map[string]*share{}, refused: map[string]refused{}, silent: map[string]silence{}, heard: map[string]time.Time{},
		reports: map[string]reported{}, waiting: map[askKey]chan message{}, answered: map[askKey]message{}, lastID: uint64(rand.Uint32()) << 32,
		asks: func(result string) *metrics.Counter {
			return cfg.Metrics.GetOrCreateCounter(`cuminhook_rate_asks_total{result="` + result + `"}`)
		},
	}
}

// SetHosts sets the number of hosts, and of those that are reachable, including this one.
func (k *Keepers) SetHosts(known, reachable int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts = max(1, known)
	k.reachable = min(max(1, reachable), k.hosts)
}

// CandidatesChanged records that the order of candidates is another one than before.
func (k *Keepers) CandidatesChanged(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.started) > formingTime {
		k.keptSince = now
	}
}

// Retain drops what is kept of all organisations but those for which keep returns true.
func (k *Keepers) Retain(keep func(name string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.pools {
		if !keep(name) {
			delete(k.pools, name)
		}
	}
	for name := range k.shares {
		if !keep(name) {
			delete(k.shares, name)
			delete(k.refused, name)
		}
	}
}

// Decision states whether a charge is admitted, with the values that it depends on.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // time until there are tokens again; zero if admitted
	Keeper     string        // host that decided; empty: no keeper answered, and this host decided by its own share
	Level      float64       // of the keeper's bucket, in tokens
}

// Charge charges the organisation the tokens unless it is above its rate, and returns the decision. It waits for the keeper's answer. An
// organisation without a rate is not limited.
func (k *Keepers) Charge(ctx context.Context, o *catalog.Organisation, tokens int64) Decision {
	if o == nil || o.Rate <= 0 {
		return Decision{Admitted: true}
	}
	now := time.Now()
	k.mu.Lock()
	if r := k.refused[o.Name]; now.Before(r.until) {
		k.mu.Unlock()
		return Decision{RetryAfter: r.admittedAt.Sub(now)}
	}
	candidates := k.cfg.Candidates(o.Name)
	keeper := k.keeperOf(o.Name, candidates, now)
	if keeper == k.host {
		d := k.grant(o, tokens, candidates[0].Host != k.host, now)
		k.mu.Unlock()
		return d
	}
	k.mu.Unlock()
	if keeper != "" {
		a, ok := k.ask(ctx, keeper, candidates, message{Kind: ask, Organisation: o.Name, Tokens: tokens})
		if ok {
			return k.decide(o, a)
		}
	}
	k.asks("unanswered").Inc()
	return k.chargeShare(o, tokens, time.Now())
}

// decide returns the decision that an answer states.
func (k *Keepers) decide(o *catalog.Organisation, a message) Decision {
	d := Decision{Admitted: a.Granted, Keeper: a.Keeper, Level: a.Level}
	if a.Granted {
		k.asks("granted").Inc()
		return d
	}
	k.asks("refused").Inc()
	d.RetryAfter = time.Duration(a.WaitMS) * time.Millisecond
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	hold := min(d.RetryAfter, time.Duration(k.hosts)*refusalHoldPerHost)
	k.refused[o.Name] = refused{until: now.Add(hold), admittedAt: now.Add(d.RetryAfter)}
	return d
}

// keeperOf returns the first candidate that is reachable and not silent, or an empty string. A host that is not the keeper any more forgets the
// pool. The caller holds mu.
func (k *Keepers) keeperOf(organisation string, candidates []Candidate, now time.Time) string {
	keeper := ""
	for _, c := range candidates {
		if c.Host == k.host || c.Reachable && !k.isSilent(c, now) {
			keeper = c.Host
			break
		}
	}
	if keeper != k.host && k.pools[organisation] != nil {
		delete(k.pools, organisation)
	}
	if keeper == k.host && candidates[0].Host != k.host && k.pools[organisation] == nil {
		k.keptSince = now // in place of another one, whose grants are not known
		k.cfg.Log.Info("organisation kept", "organisation", organisation, "in_place_of", candidates[0].Host)
	}
	return keeper
}

// silence is that of a candidate.
type silence struct {
	since    time.Time // of the latest ask without an answer
	probedAt time.Time // when an ask last tried whether it answers again
}

// isSilent reports whether a candidate did not answer and was not heard since. Where states of it do not arrive, it is false once each
// silentTime. The caller holds mu.
func (k *Keepers) isSilent(c Candidate, now time.Time) bool {
	s, silent := k.silent[c.Host]
	switch {
	case !silent:
		return false
	case c.Heard.After(s.since) || k.heard[c.Host].After(s.since):
		delete(k.silent, c.Host)
		return false
	case c.Heard.IsZero() && now.Sub(s.since) > silentTime && now.Sub(s.probedAt) > silentTime:
		k.silent[c.Host] = silence{s.since, now}
		return false
	}
	return true
}

// quiet returns the time since anything arrived from a candidate. The caller holds mu.
func (k *Keepers) quiet(host string, candidates []Candidate, now time.Time) time.Duration {
	at := k.heard[host]
	for _, c := range candidates {
		if c.Host == host && c.Heard.After(at) {
			at = c.Heard
		}
	}
	return now.Sub(at)
}

// ask sends the keeper an ask and returns the answer, or false if there is none in time. Without an answer it goes to the next candidate too,
// which knows another way to the keeper or takes its place.
func (k *Keepers) ask(caller context.Context, keeper string, candidates []Candidate, m message) (message, bool) {
	m.From, m.Origin = k.host, k.host
	key, answers := k.expect(&m)
	defer k.forget(key)
	ctx, cancel := context.WithTimeout(caller, askTimeout)
	defer cancel()
	k.send(keeper, &m)
	resend := time.NewTicker(resendDelay)
	defer resend.Stop()
	next := after(candidates, keeper)
	for {
		select {
		case a := <-answers:
			if a.Keeper != keeper && a.Keeper != "" {
				k.markSilent(keeper)
			}
			return a, a.Keeper != ""
		case <-resend.C:
			k.send(keeper, &m)
			if next == k.host {
				if a, ok := k.standIn(keeper, m); ok {
					return a, true
				}
			} else if next != "" {
				k.send(next, &m)
			}
		case <-ctx.Done():
			if caller.Err() == nil {
				k.markSilent(keeper)
				if next != "" && next != k.host {
					k.markSilent(next)
				}
			}
			return message{}, false
		}
	}
}

// after returns the candidate after the one named, or an empty string.
func after(candidates []Candidate, host string) string {
	for i, c := range candidates {
		if c.Host == host && i+1 < len(candidates) {
			return candidates[i+1].Host
		}
	}
	return ""
}

// expect registers an ask of this host, with a new id unless it has one, and returns where its answer arrives.
func (k *Keepers) expect(m *message) (askKey, chan message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.ID == 0 {
		k.lastID++
		m.ID = k.lastID
	}
	key, answers := askKey{m.Origin, m.ID}, make(chan message, 1)
	k.waiting[key] = answers
	return key, answers
}

func (k *Keepers) forget(key askKey) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, key)
}

func (k *Keepers) markSilent(host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent[host] = silence{since: time.Now()}
}

func (k *Keepers) send(host string, m *message) {
	if err := k.cfg.Send(host, m.encode()); err != nil {
		k.cfg.Log.Debug("message on a rate not sent", "peer", host, "error", err.Error())
	}
}

// Handle handles a message of another host.
func (k *Keepers) Handle(data []byte) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		k.cfg.Log.Warn("message on a rate not decoded", "bytes", len(data), "error", err.Error())
		return
	}
	now := time.Now()
	k.mu.Lock()
	k.heard[m.From] = now
	k.mu.Unlock()
	switch m.Kind {
	case ask:
		k.handleAsk(m, now)
	case answer:
		k.mu.Lock()
		answers := k.waiting[askKey{m.Origin, m.ID}]
		k.mu.Unlock()
		select {
		case answers <- m: // never on a nil channel
		default:
		}
	case refund:
		k.handleRefund(m, now)
	}
}

// handleAsk answers an ask if this host is the keeper, and else passes it on to the keeper.
func (k *Keepers) handleAsk(m message, now time.Time) {
	o := k.cfg.Organisation(m.Organisation)
	key := askKey{m.Origin, m.ID}
	k.mu.Lock()
	k.noteRunning(now)
	if a, known := k.answered[key]; known {
		k.mu.Unlock()
		k.send(m.From, &a)
		return
	}
	keeper, candidates := "", k.cfg.Candidates(m.Organisation)
	if o != nil && o.Rate > 0 {
		keeper = k.keeperOf(m.Organisation, candidates, now)
	}
	if keeper == k.host {
		a := k.answer(o, m, candidates[0].Host != k.host, now)
		k.mu.Unlock()
		k.send(m.From, &a)
		return
	}
	k.mu.Unlock()
	if keeper != "" && !m.Relayed && keeper != m.From {
		go k.relay(keeper, m)
		return
	}
	k.send(m.From, &message{Kind: answer, From: k.host, Origin: m.Origin, ID: m.ID, Organisation: m.Organisation})
}

// answer grants or refuses an ask as the keeper, and remembers the answer. The caller holds mu.
func (k *Keepers) answer(o *catalog.Organisation, m message, standsIn bool, now time.Time) message {
	d := k.grant(o, m.Tokens, standsIn, now)
	a := message{
		Kind: answer, From: k.host, Origin: m.Origin, ID: m.ID, Organisation: m.Organisation, Keeper: k.host,
		Granted: d.Admitted, WaitMS: d.RetryAfter.Milliseconds(), Level: d.Level,
	}
	key := askKey{m.Origin, m.ID}
	for len(k.expiring) > 0 && now.Sub(k.expiring[0].at) > answeredTTL {
		delete(k.answered, k.expiring[0].key)
		k.expiring = k.expiring[1:]
	}
	k.answered[key] = a
	k.expiring = append(k.expiring, expiringAnswer{key, now})
	return a
}

// relay passes an ask on to the keeper and its answer back. If the keeper is silent, this host takes its place if it is the next one.
func (k *Keepers) relay(keeper string, m message) {
	select {
	case k.relays <- struct{}{}:
		defer func() { <-k.relays }()
	default:
		return
	}
	back := m.From
	m.From, m.Relayed = k.host, true
	key, answers := k.expect(&m)
	defer k.forget(key)
	k.send(keeper, &m)
	select {
	case a := <-answers:
		a.From = k.host
		k.asks("relayed").Inc()
		k.send(back, &a)
	case <-time.After(resendDelay):
		if a, ok := k.standIn(keeper, m); ok {
			k.send(back, &a)
		}
	}
}

// standIn answers an ask in place of the keeper, which has not answered it, if nothing has arrived from that for silentAfter and this host is
// the next candidate.
func (k *Keepers) standIn(keeper string, m message) (message, bool) {
	o := k.cfg.Organisation(m.Organisation)
	if o == nil {
		return message{}, false
	}
	now, candidates := time.Now(), k.cfg.Candidates(m.Organisation)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.quiet(keeper, candidates, now) < silentAfter {
		return message{}, false
	}
	if a, known := k.answered[askKey{m.Origin, m.ID}]; known {
		return a, true
	}
	k.silent[keeper] = silence{since: now}
	if k.keeperOf(m.Organisation, candidates, now) != k.host {
		return message{}, false
	}
	return k.answer(o, m, candidates[0].Host != k.host, now), true
}

// Withdraw takes back an admitted charge of a request that was not run.
func (k *Keepers) Withdraw(o *catalog.Organisation, tokens int64, d Decision, chargedAt time.Time) {
	if o == nil || o.Rate <= 0 || !d.Admitted {
		return
	}
	now := time.Now()
	m := message{
		Kind: refund, From: k.host, Origin: k.host, Organisation: o.Name, Tokens: tokens, AgeMS: now.Sub(chargedAt).Milliseconds(),
	}
	switch d.Keeper {
	case "":
		k.mu.Lock()
		if s := k.shares[o.Name]; s != nil {
			s.saved += float64(tokens)
			s.charged -= float64(tokens)
		}
		k.mu.Unlock()
	case k.host:
		k.handleRefund(m, now)
	default:
		k.send(d.Keeper, &m)
	}
}

// handleRefund puts tokens back into a pool that this host keeps.
func (k *Keepers) handleRefund(m message, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p := k.pools[m.Organisation]; p != nil && m.Tokens > 0 && m.AgeMS >= 0 {
		at := max(0, k.clock(now)-m.AgeMS*int64(time.Millisecond))
		credited := p.bucket.Credit(k.clock(now), at, float64(m.Tokens))
		if p.standsIn {
			k.shareOf(m.Organisation).charged -= credited
		}
	}
}
