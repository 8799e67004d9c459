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
	// announcement 2 s after they received it, so the CAS has to be sent well before that.
	announceTimeout = time.Second
	// silenceTimeout is the time after which a silent key-value service ends a write.
	silenceTimeout = 5 * time.Second
	// writeTimeout bounds a write as a whole, also if reads succeed and writes keep failing.
	writeTimeout = 20 * time.Second
	callTimeout  = time.Second            // of one call of the key-value service
	retryDelay   = 100 * time.Millisecond // after a failed call
)

// ErrNoChange is returned by the function passed to Update when there is nothing to write.
var ErrNoChange = errors.New("manifest: no change")

// errVanished is returned when hosts have a manifest and the key-value service has none.
var errVanished = errors.New("manifest: it vanished from the key-value service; restore it before sending tickets")

// errRetry marks errors after which the manifest is read again.
var errRetry = errors.New("manifest: read again")

// errPaused is the cause of a retry after the clock check failed.
var errPaused = errors.New("manifest: paused between announcement and write")

// Config holds the optional parts of a writer.
type Config struct {
	// Known returns the highest manifest revision that this host or another one is known to have. The writer
	// writes nothing on top of a lower one: the key-value service has lost data then, and hosts would not
	// install what is written. Nil: only the revisions that the writer itself saw count.
	Known func() int64
	// Gone reports whether the platform's host list does not name a witness any more. Such a witness does not run,
	// so no host can count it for an outage, and it counts as having acknowledged: otherwise the loss of a majority
	// would block every write, also the one that replaces them. Nil: none is gone.
	Gone func(witness string) bool
	// SkipClockCheck switches off the check right before the CAS. Only negative controls set it.
	SkipClockCheck bool
}

// Writer writes the manifest. It serialises its own writes; other writers are kept out by the CAS alone.
type Writer struct {
	store     kv.Store
	announcer Announcer
	config    Config
	reader    *Reader
	turn      chan struct{} // holds one token; taken for the duration of a write

	mu        sync.Mutex
	trashSeen map[string]time.Time // guarded by mu; when a record of obsolete keys was first seen in force
}

// NewWriter returns a writer. Nothing is read before the first write.
func NewWriter(store kv.Store, announcer Announcer, config Config) *Writer {
	w := &Writer{store: store, announcer: announcer, config: config, reader: NewReader(), turn: make(chan struct{}, 1)}
	w.turn <- struct{}{}
	return w
}

// Receipt confirms that a ticket is accepted.
type Receipt struct {
	Number   int64  `json:"number"`
	SHA256   string `json:"sha256"`
	Revision int64  `json:"revision"` // every host at this manifest revision or above has the ticket in force
	Repeated bool   `json:"repeated"` // it had been accepted before
}

// Accept makes t accepted, or returns a refusal. It may be called again with the same ticket at any time:
// after outcome_unknown, the second call tells the outcome.
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
		w.reader.remember(key, body)
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

// append adds ref to m and rolls a full list of references over into a chunk.
func (w *Writer) append(ctx context.Context, m *Manifest, ref TicketRef) error {
	if len(m.Tickets) >= ChunkSize {
		data, chunk, err := encodeChunk(m.Tickets)
		if err != nil {
			return err
		}
		if err := w.create(ctx, ChunkKey(chunk), data); err != nil {
			return err
		}
		w.reader.remember(ChunkKey(chunk), data)
		m.Chunks, m.Tickets = append(m.Chunks, chunk), nil
	}
	m.Seq++
	ref.Seq, ref.Revision = m.Seq, m.Revision+1
	m.Tickets = append(m.Tickets, ref)
	return nil
}

// Update writes the manifest that edit makes of a copy of the newest one, and returns it. edit also returns
// the restrictive content of its change; slots that change owners are added here. edit is called again after
// every lost race, and after a lost answer if the write cannot be recognised any more, so it has to describe
// the wanted result and not a step. With ErrNoChange from edit the newest manifest is returned.
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
			r.SlotsLost = SlotRestriction(cur.Manifest.Slots, next.Slots)
		}
		return next, r, nil
	})
}

// checkWitnesses refuses changes by more than one witness: with two, a majority of the old list and one of
// the new list need not share a witness. A replacement counts as two.
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

// builder returns the manifest to write in place of cur, or nil if cur is as wanted. first is false once a
// CAS was sent.
type builder func(ctx context.Context, cur *Loaded, first bool) (*Manifest, Restriction, error)

// write is the progress of one call of swap.
type write struct {
	heard   time.Time  // last answer of the key-value service
	sent    bool       // a CAS was sent
	pending bool       // a CAS has an unknown outcome and can still take effect
	version kv.Version // version which that CAS expects
	raw     []byte     // value which that CAS writes
}

// swap reads, builds, announces and writes until the manifest is as wanted or a refusal is certain.
func (w *Writer) swap(ctx context.Context, build builder) (m *Manifest, err error) {
	start := time.Now()
	defer func() {
		countWrite(err)
		writeSeconds.UpdateDuration(start)
	}()
	select {
	case <-w.turn:
		defer func() { w.turn <- struct{}{} }()
	case <-ctx.Done():
		return nil, unavailable("another write is in progress")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	p := &write{heard: time.Now()}
	for {
		m, err := w.attempt(ctx, build, p)
		if err == nil {
			return m, nil
		}
		again := errors.Is(err, errRetry)
		silent := time.Since(p.heard) >= silenceTimeout || ctx.Err() != nil
		switch {
		case p.pending && (silent || !again):
			return nil, outcomeUnknown(err)
		case !again:
			return nil, err
		case silent:
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

// attempt runs one round of swap. Errors that wrap errRetry lead to another round.
func (w *Writer) attempt(ctx context.Context, build builder, p *write) (*Manifest, error) {
	cur, version, err := w.read(ctx)
	if err != nil {
		return nil, err
	}
	p.heard = time.Now()
	if p.pending && version != p.version {
		p.pending = false // the CAS took effect or never will
		if bytes.Equal(cur.Raw, p.raw) {
			return cur.Manifest, nil
		}
	}
	next, restriction, err := build(ctx, cur, !p.sent)
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
	p.sent = true
	switch {
	case err == nil:
		// The next write starts from here. An error shows again then.
		_, _ = w.reader.LoadRaw(ctx, raw, StoreSource{w.store})
		return next, nil
	case errors.Is(err, kv.ErrUnknown):
		p.pending, p.version, p.raw = true, version, raw
	case !errors.Is(err, kv.ErrConflict) && !errors.Is(err, kv.ErrUnavailable):
		return nil, err
	}
	return nil, retry(err)
}

// read returns the newest manifest with its state and its version in the store.
func (w *Writer) read(ctx context.Context) (*Loaded, kv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	e, err := get(ctx, w.store, Key)
	if errors.Is(err, kv.ErrNotFound) {
		if w.reader.Newest() != nil || w.known() > 0 {
			return nil, 0, errVanished
		}
		return &Loaded{Manifest: Initial(), State: ticket.Empty()}, 0, nil
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
	if w.config.Known == nil {
		return 0
	}
	return w.config.Known()
}

// create stores an object under its content hash; that it exists already is success.
func (w *Writer) create(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := w.store.Put(ctx, key, value, 0, 0)
	if err == nil || errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return retry(err)
}

func (w *Writer) announce(ctx context.Context, r Restriction, witnesses []string) error {
	if len(witnesses) == 0 {
		return nil // before the controller has appointed the first witness, no host serves in an outage
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	present := slices.Clone(witnesses)
	if w.config.Gone != nil {
		present = slices.DeleteFunc(present, w.config.Gone)
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

func retry(err error) error {
	if _, ok := refusal.As(err); ok {
		return err
	}
	return fmt.Errorf("%w: %w", errRetry, err)
}

func unavailable(message string) error {
	return &refusal.Error{
		Reason: refusal.StoreUnavailable, Run: refusal.NotRun, Status: 503, Message: message,
		Remedy: "the change is not accepted; send it again later", RetryAfter: silenceTimeout,
	}
}

func outcomeUnknown(cause error) error {
	return &refusal.Error{
		Reason: refusal.OutcomeUnknown, Run: refusal.Unknown, Status: 504, Message: cause.Error(),
		Remedy: "send the same ticket again, which tells whether it was accepted", RetryAfter: silenceTimeout,
	}
}

// Newest returns what the writer read or wrote last, or nil.
func (w *Writer) Newest() *Loaded { return w.reader.Newest() }
