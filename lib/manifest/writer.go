package manifest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/refusal"
	"cuminhook.org/cuminhook/lib/ticket"
)

const (
	// announceTimeout is the time within which a majority of the witnesses has to acknowledge. Hosts drop an
	// announcement once their configuration is confirmed more than 2 s after they received it, so the CAS has to be sent
	// well before that.
	announceTimeout = time.Second
	// storeAnswerTimeout ends a write when the key-value service has not answered for this time.
	storeAnswerTimeout = 5 * time.Second
	// writeTimeout bounds a whole write, also when reads succeed and the CAS keeps failing.
	writeTimeout = 20 * time.Second
	callTimeout  = time.Second            // for one call to the key-value service
	retryDelay   = 100 * time.Millisecond // after a failed call
)

// ErrNoChange is returned by the function passed to Update to say that there is nothing to write.
var ErrNoChange = errors.New("manifest: no change")

// errManifestMissing is returned when hosts have a manifest and the key-value service has none.
var errManifestMissing = errors.New("manifest: no longer in the key-value service; restore it before sending tickets")

// errRetry marks errors after which a write starts again by reading the manifest.
var errRetry = errors.New("manifest: read again")

// errPaused is the cause of a retry when too much time passed between the announcement and the CAS.
var errPaused = errors.New("manifest: paused between announcement and write")

// Config holds the optional settings of a writer.
type Config struct {
	// KnownRevision returns the highest manifest revision that any host is known to have. The writer does not replace a
	// lower one: the key-value service has lost data then, and hosts would not install the new manifest. Nil: only
	// revisions that the writer itself has seen count.
	KnownRevision func() int64
	// WitnessGone reports whether a witness is no longer in the platform's host list. Such a witness does not run, so no
	// host can count it for an outage, and it counts as having acknowledged. Otherwise the loss of a majority would
	// block every write, also the one that replaces the lost witnesses. Nil: none is gone.
	WitnessGone func(witness string) bool
	// SkipClockCheck switches off the check right before the CAS that the announcement is not older than
	// announceTimeout. Only negative controls set it.
	SkipClockCheck bool
}

// Writer writes the manifest. It serialises its own writes; only the CAS protects against other writers.
type Writer struct {
	store     kv.Store
	announcer Announcer
	config    Config
	reader    *Reader
	writeLock chan struct{} // holds one token, which a write takes while it runs

	mu           sync.Mutex
	recordSeenAt map[string]time.Time // guarded by mu; when each record of obsolete keys was first seen in force
}

// NewWriter returns a writer. It reads nothing before the first call of another method.
func NewWriter(store kv.Store, announcer Announcer, config Config) *Writer {
	w := &Writer{store: store, announcer: announcer, config: config, reader: NewReader(), writeLock: make(chan struct{}, 1)}
	w.writeLock <- struct{}{}
	return w
}

// Receipt confirms that a ticket is accepted.
type Receipt struct {
	Number   int64  `json:"number"`
	SHA256   string `json:"sha256"`
	Revision int64  `json:"revision"` // the ticket is in force on hosts at this manifest revision or a higher one
	Repeated bool   `json:"repeated"` // the ticket had been accepted before this call
}

// Accept accepts t or returns a refusal. It may be called again with the same ticket at any time: after a refusal
// with the reason outcome_unknown, the next call tells whether t was accepted.
func (w *Writer) Accept(ctx context.Context, t *ticket.Ticket) (Receipt, error) {
	if body := t.Encode(); len(body) > ticket.MaxBytes {
		return Receipt{}, &refusal.Error{
			Reason: refusal.TicketTooLarge, Run: refusal.NotRun, Status: 413,
			Message: fmt.Sprintf("the ticket has %d bytes, the limit is %d", len(body), ticket.MaxBytes),
			Remedy:  "split it into several tickets",
		}
	}
	receipt := Receipt{Number: t.Number, SHA256: t.Hash()}
	m, err := w.swap(ctx, func(ctx context.Context, cur *Loaded, first bool) (*Manifest, Restriction, error) {
		receipt.Repeated = false
		if hash, ok := cur.State.Accepted.Get(t.Number); ok && hash == receipt.SHA256 {
			receipt.Repeated = first
			return nil, Restriction{}, nil
		}
		if _, err := cur.State.Apply(t); err != nil {
			return nil, Restriction{}, err
		}
		key, body := BodyKey(t.Number, receipt.SHA256), t.Canonical().Encode()
		if err := w.create(ctx, key, body); err != nil {
			return nil, Restriction{}, err
		}
		w.reader.cacheObject(key, body)
		next := cur.Manifest.Clone()
		if err := w.append(ctx, next, TicketRef{Number: t.Number, SHA256: receipt.SHA256}); err != nil {
			return nil, Restriction{}, err
		}
		return next, TicketRestriction(cur.State, t), nil
	})
	if err != nil {
		return Receipt{}, err
	}
	receipt.Revision = m.Revision
	if i := slices.IndexFunc(m.Tickets, func(r TicketRef) bool { return r.Number == t.Number }); i >= 0 {
		receipt.Revision = m.Tickets[i].Revision
	}
	return receipt, nil
}

// append adds ref to m. If the list of references is full, it moves them to a new chunk first.
func (w *Writer) append(ctx context.Context, m *Manifest, ref TicketRef) error {
	if len(m.Tickets) >= ChunkSize {
		data, chunk, err := encodeChunk(m.Tickets)
		if err != nil {
			return err
		}
		if err := w.create(ctx, ChunkKey(chunk), data); err != nil {
			return err
		}
		w.reader.cacheObject(ChunkKey(chunk), data)
		m.Chunks, m.Tickets = append(m.Chunks, chunk), nil
	}
	m.Seq++
	ref.Seq, ref.Revision = m.Seq, m.Revision+1
	m.Tickets = append(m.Tickets, ref)
	return nil
}

// Update lets edit change a copy of the newest manifest, writes the copy and returns it. edit also returns what its
// change takes away; Update fills in SlotsLost. edit is called again after every conflict with another writer, and
// after a lost answer if the write cannot be recognised any more, so it must be idempotent: it sets the wanted result
// instead of making a step from the previous one. If edit returns ErrNoChange, Update returns the newest manifest.
func (w *Writer) Update(ctx context.Context, edit func(*Manifest) (Restriction, error)) (*Manifest, error) {
	return w.swap(ctx, func(_ context.Context, cur *Loaded, _ bool) (*Manifest, Restriction, error) {
		next := cur.Manifest.Clone()
		r, err := edit(next)
		if errors.Is(err, ErrNoChange) {
			return nil, Restriction{}, nil
		}
		if err != nil {
			return nil, Restriction{}, err
		}
		if err := checkWitnesses(cur.Manifest.Witnesses, next.Witnesses); err != nil {
			return nil, Restriction{}, err
		}
		if len(next.Slots.Owners) == len(cur.Manifest.Slots.Owners) {
			r.SlotsLost = LostSlots(cur.Manifest.Slots, next.Slots)
		}
		return next, r, nil
	})
}

// checkWitnesses refuses to add or remove more than one witness at once: after two such changes, a majority of the
// old list and a majority of the new list need not share a witness. A replacement counts as two changes.
func checkWitnesses(old, next []string) error {
	changed := 0
	for _, id := range old {
		if !slices.Contains(next, id) {
			changed++
		}
	}
	for i, id := range next {
		if slices.Contains(next[:i], id) {
			return fmt.Errorf("manifest: witness %s is listed twice; list it once", id)
		}
		if !slices.Contains(old, id) {
			changed++
		}
	}
	if changed > 1 {
		return fmt.Errorf("manifest: %d witnesses change at once; add or remove one in each write", changed)
	}
	return nil
}

// builder returns the manifest to write in place of cur and what it takes away, or a nil manifest if cur needs no
// change. first is true until this write has sent its first CAS.
type builder func(ctx context.Context, cur *Loaded, first bool) (*Manifest, Restriction, error)

// swapProgress is the progress of one call of swap.
type swapProgress struct {
	lastAnswer time.Time  // when the key-value service last answered
	sent       bool       // a CAS was sent
	pending    bool       // a CAS has an unknown outcome and can still take effect
	version    kv.Version // version that the pending CAS expects
	raw        []byte     // value that the pending CAS writes
}

// swap replaces the manifest by the one that build returns. It reads, builds, announces and writes in a loop until
// the write is done, build wants no change, or the write fails for good.
func (w *Writer) swap(ctx context.Context, build builder) (m *Manifest, err error) {
	start := time.Now()
	defer func() {
		countWrite(err)
		writeSeconds.UpdateDuration(start)
	}()
	select {
	case <-w.writeLock:
		defer func() { w.writeLock <- struct{}{} }()
	case <-ctx.Done():
		return nil, unavailable("another write is in progress")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	progress := &swapProgress{lastAnswer: time.Now()}
	for {
		m, err := w.attempt(ctx, build, progress)
		if err == nil {
			return m, nil
		}
		retryable := errors.Is(err, errRetry)
		timedOut := time.Since(progress.lastAnswer) >= storeAnswerTimeout || ctx.Err() != nil
		switch {
		case progress.pending && (timedOut || !retryable):
			return nil, outcomeUnknown(err)
		case !retryable:
			return nil, err
		case timedOut:
			return nil, unavailable(err.Error())
		}
		countRetry(err)
		if !errors.Is(err, kv.ErrConflict) {
			sleep(ctx, retryDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// attempt runs one iteration of swap. Errors that wrap errRetry lead to another one.
func (w *Writer) attempt(ctx context.Context, build builder, progress *swapProgress) (*Manifest, error) {
	cur, version, err := w.read(ctx)
	if err != nil {
		return nil, err
	}
	progress.lastAnswer = time.Now()
	if progress.pending && version != progress.version {
		progress.pending = false // the CAS took effect or never will
		if bytes.Equal(cur.Raw, progress.raw) {
			return cur.Manifest, nil
		}
	}
	next, restriction, err := build(ctx, cur, !progress.sent)
	if err != nil {
		return nil, err
	}
	if next == nil {
		return cur.Manifest, nil
	}
	next.Revision = cur.Manifest.Revision + 1
	raw, err := Encode(next)
	if err != nil {
		return nil, err
	}
	restriction.Base = cur.Manifest.Revision
	announced := time.Now()
	if err := w.announce(ctx, restriction, cur.Manifest.Witnesses); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if time.Since(announced) > announceTimeout && !w.config.SkipClockCheck {
		return nil, fmt.Errorf("%w: %w", errRetry, errPaused)
	}
	_, err = w.store.Put(ctx, Key, raw, version, 0)
	progress.sent = true
	switch {
	case err == nil:
		// The next write starts from this manifest, and meets the same error if the load fails.
		_, _ = w.reader.LoadRaw(ctx, raw, StoreSource{w.store})
		return next, nil
	case errors.Is(err, kv.ErrUnknown):
		progress.pending, progress.version, progress.raw = true, version, raw
	case !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrUnavailable):
		return nil, err
	}
	return nil, retry(err)
}

// read returns the newest manifest with its state and its version in the store.
func (w *Writer) read(ctx context.Context) (*Loaded, kv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeAnswerTimeout)
	defer cancel()
	e, err := get(ctx, w.store, Key)
	if errors.Is(err, kv.ErrNotFound) {
		if w.reader.Newest() != nil || w.known() > 0 {
			return nil, 0, errManifestMissing
		}
		return &Loaded{Manifest: Initial(), State: ticket.EmptyState()}, 0, nil
	}
	if err != nil {
		return nil, 0, retry(err)
	}
	cur, err := w.reader.LoadRaw(ctx, e.Value, StoreSource{w.store})
	if err != nil {
		return nil, 0, retry(err)
	}
	if !bytes.Equal(cur.Raw, e.Value) || cur.Manifest.Revision < w.known() {
		return nil, 0, fmt.Errorf("%w: the key-value service returned an older manifest", errRetry)
	}
	return cur, e.Version, nil
}

func (w *Writer) known() int64 {
	if w.config.KnownRevision == nil {
		return 0
	}
	return w.config.KnownRevision()
}

// create stores an object under a key that contains its content hash. An object that already exists is no error.
func (w *Writer) create(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := w.store.Put(ctx, key, value, 0, 0)
	if err == nil || errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return retry(err)
}

// announce sends r to the witnesses and refuses the write unless a majority of them acknowledged or is gone.
func (w *Writer) announce(ctx context.Context, r Restriction, witnesses []string) error {
	if len(witnesses) == 0 {
		return nil // no host serves in an outage before the controller has appointed the first witness
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	present := slices.Clone(witnesses)
	if w.config.WitnessGone != nil {
		present = slices.DeleteFunc(present, w.config.WitnessGone)
	}
	gone := len(witnesses) - len(present)
	acked, err := w.announcer.Announce(ctx, r, present)
	if acked+gone > len(witnesses)/2 {
		return nil
	}
	message := fmt.Sprintf("%d of %d witnesses acknowledged the change within %v, and %d are gone from the host list",
		acked, len(witnesses), announceTimeout, gone)
	if err != nil {
		message += ": " + err.Error()
	}
	return &refusal.Error{
		Reason: refusal.NoMajority, Run: refusal.NotRun, Status: 503, Message: message,
		Remedy: "send the same ticket again; if this persists, start the gateways that 'cuminhookctl members' shows as " +
			"silent, or take hosts that are gone off the platform's host list",
		RetryAfter: time.Second,
	}
}

// retry marks err with errRetry unless it is a refusal.
func retry(err error) error {
	if _, ok := refusal.As(err); ok {
		return err
	}
	return fmt.Errorf("%w: %w", errRetry, err)
}

func unavailable(message string) error {
	return &refusal.Error{
		Reason: refusal.StoreUnavailable, Run: refusal.NotRun, Status: 503, Message: message,
		Remedy: "the change is not accepted; send it again later", RetryAfter: storeAnswerTimeout,
	}
}

func outcomeUnknown(cause error) error {
	return &refusal.Error{
		Reason: refusal.OutcomeUnknown, Run: refusal.RunUnknown, Status: 504, Message: cause.Error(),
		Remedy: "send the same ticket again, which tells whether it was accepted", RetryAfter: storeAnswerTimeout,
	}
}

// Newest returns the newest manifest that the writer read or wrote, with its state, or nil.
func (w *Writer) Newest() *Loaded { return w.reader.Newest() }
