package manifest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/ticket"
)

// Errors of a Reader.
var (
	// ErrNoManifest: the source has no manifest; nothing was ever written, or the source is starting.
	ErrNoManifest = errors.New("manifest: none yet; send the first ticket")
	// ErrMissing: the source lacks an object that its manifest refers to.
	ErrMissing = errors.New("manifest: source lacks an object; use another source")
)

// Source gives the newest manifest that it has and the objects that manifests refer to. A kv.Store (through
// StoreSource) and the Reader of another host are sources.
type Source interface {
	// Manifest returns the encoded manifest, or ErrNoManifest.
	Manifest(ctx context.Context) ([]byte, error)
	// Objects returns the values of the keys that the source has.
	Objects(ctx context.Context, keys []string) (map[string][]byte, error)
}

// StateSource is a source that also has a whole state, as hosts have. It spares readers the log.
type StateSource interface {
	Source
	// State returns a state in the form of ticket.EncodeState and the sequence number it contains last.
	State(ctx context.Context) (seq int64, encoded []byte, err error)
}

// StoreSource is the key-value service as a source. Each of its calls has a deadline of callTimeout.
type StoreSource struct{ Store kv.Store }

// parallelGets bounds the reads that one load has in flight; a host that starts reads up to about 1,100 bodies.
const parallelGets = 8

// Manifest implements Source.
func (s StoreSource) Manifest(ctx context.Context) ([]byte, error) {
	e, err := get(ctx, s.Store, Key)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, ErrNoManifest
	}
	return e.Value, err
}

// Objects implements Source.
func (s StoreSource) Objects(ctx context.Context, keys []string) (map[string][]byte, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelGets)
	values, found := make([][]byte, len(keys)), make([]bool, len(keys))
	for i, key := range keys {
		group.Go(func() error {
			e, err := get(ctx, s.Store, key)
			if errors.Is(err, kv.ErrNotFound) {
				return nil
			}
			values[i], found[i] = e.Value, err == nil
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	out := make(map[string][]byte, len(keys))
	for i, key := range keys {
		if found[i] {
			out[key] = values[i]
		}
	}
	return out, nil
}

func get(ctx context.Context, store kv.Store, key string) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return store.Get(ctx, key)
}

// Loaded is a manifest with the state that it stands for. It is immutable.
type Loaded struct {
	Manifest *Manifest
	Raw      []byte // encoded manifest
	State    *ticket.State
}

// objectBudget bounds the bytes of the bodies that a reader keeps for other hosts. A thousand tickets usually
// have a tenth of that; with larger ones, hosts that are far behind load a whole state instead.
const objectBudget = 8 << 20

// Reader follows the manifest. It never returns to a lower revision, and it loads only what it lacks. It is
// a StateSource for other hosts. All methods are safe for concurrent use.
type Reader struct {
	mu      sync.Mutex
	newest  *Loaded           // guarded by mu; nil before the first load
	objects map[string][]byte // guarded by mu; chunks and bodies that newest refers to, as far as known
	size    int               // guarded by mu; bytes of objects
	encoded encodedState      // guarded by mu
}

// encodedState is kept for the next host that starts.
type encodedState struct {
	seq  int64
	data []byte
}

// NewReader returns a reader that holds nothing.
func NewReader() *Reader { return &Reader{objects: map[string][]byte{}} }

// Newest returns what the reader holds, or nil.
func (r *Reader) Newest() *Loaded {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// Load brings the reader to the source's manifest if that is newer, and returns what the reader holds then.
func (r *Reader) Load(ctx context.Context, src Source) (*Loaded, error) {
	raw, err := src.Manifest(ctx)
	if err != nil {
		return nil, err
	}
	return r.LoadRaw(ctx, raw, src)
}

// LoadRaw is Load for an encoded manifest that the caller has already; src gives the objects.
func (r *Reader) LoadRaw(ctx context.Context, raw []byte, src Source) (*Loaded, error) {
	held := r.Newest()
	if held != nil && bytes.Equal(held.Raw, raw) {
		return held, nil
	}
	m, err := Decode(raw)
	if err != nil {
		return nil, err
	}
	if held != nil && m.Revision <= held.Manifest.Revision {
		return held, nil
	}
	l := loader{reader: r, src: src, m: m, fetched: map[string][]byte{}}
	state, err := l.load(ctx, held)
	if err != nil {
		return nil, err
	}
	return r.install(&Loaded{Manifest: m, Raw: bytes.Clone(raw), State: state}, l.fetched), nil
}

// install keeps next unless a concurrent load installed a newer revision.
func (r *Reader) install(next *Loaded, fetched map[string][]byte) *Loaded {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest != nil && next.Manifest.Revision <= r.newest.Manifest.Revision {
		return r.newest
	}
	for key, value := range fetched {
		r.keep(key, value)
	}
	old := r.newest
	r.newest = next
	// Nothing becomes obsolete while the chunks stay, and reading them all for every ticket is slow.
	if old == nil || !slices.Equal(old.Manifest.Chunks, next.Manifest.Chunks) || r.size > objectBudget {
		r.prune()
	}
	return next
}

// remember keeps an object that this host wrote.
func (r *Reader) remember(key string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keep(key, value)
}

// keep adds an object; mu is held.
func (r *Reader) keep(key string, value []byte) {
	r.size += len(value) - len(r.objects[key])
	r.objects[key] = value
}

// prune keeps the chunks that the newest manifest refers to, and of the bodies the newest that fit into the
// budget; mu is held.
func (r *Reader) prune() {
	m := r.newest.Manifest
	old := r.objects
	r.objects, r.size = map[string][]byte{}, 0
	keepBodies := func(refs []TicketRef) {
		for _, t := range slices.Backward(refs) {
			key := BodyKey(t.Number, t.SHA256)
			if value, ok := old[key]; ok && r.size+len(value) <= objectBudget {
				r.keep(key, value)
			}
		}
	}
	keepBodies(m.Tickets)
	for _, c := range slices.Backward(m.Chunks) {
		key := ChunkKey(c)
		if refs, err := decodeChunk(c, old[key]); err == nil {
			r.keep(key, old[key])
			keepBodies(refs)
		}
	}
}

// Manifest implements Source.
func (r *Reader) Manifest(context.Context) ([]byte, error) {
	if l := r.Newest(); l != nil {
		return l.Raw, nil
	}
	return nil, ErrNoManifest
}

// Objects implements Source.
func (r *Reader) Objects(_ context.Context, keys []string) (map[string][]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]byte{}
	for _, key := range keys {
		if value, ok := r.objects[key]; ok {
			out[key] = value
		}
	}
	return out, nil
}

// State implements StateSource. Encoding takes a tenth of a second at the large size, so one encoding serves
// all hosts that start until it is ChunkSize tickets old; they follow the log from there.
func (r *Reader) State(context.Context) (int64, []byte, error) {
	l := r.Newest()
	if l == nil {
		return 0, nil, ErrNoManifest
	}
	r.mu.Lock()
	last := r.encoded
	r.mu.Unlock()
	if last.data != nil && l.Manifest.Seq-last.seq < ChunkSize && last.seq+1 >= l.Manifest.firstRef() {
		return last.seq, last.data, nil
	}
	data, err := ticket.EncodeState(l.State)
	if err != nil {
		return 0, nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.encoded = encodedState{l.Manifest.Seq, data}
	return l.Manifest.Seq, data, nil
}

// loader performs one load.
type loader struct {
	reader  *Reader
	src     Source
	m       *Manifest
	fetched map[string][]byte
}

// load returns the state of l.m, starting from held where possible. held may be nil.
func (l *loader) load(ctx context.Context, held *Loaded) (*ticket.State, error) {
	state, seq := ticket.Empty(), int64(0)
	if held != nil {
		state, seq = held.State, held.Manifest.Seq
	}
	if seq+1 < l.m.firstRef() {
		var err error
		if state, seq, err = l.base(ctx); err != nil {
			return nil, err
		}
	}
	next, err := l.follow(ctx, state, seq)
	if ss, ok := l.src.(StateSource); ok && errors.Is(err, ErrMissing) {
		if state, seq, err = l.wholeState(ctx, ss); err != nil {
			return nil, err
		}
		return l.follow(ctx, state, seq)
	}
	return next, err
}

// firstRef returns the lowest sequence number that the log still covers.
func (m *Manifest) firstRef() int64 {
	if len(m.Chunks) > 0 {
		return m.Chunks[0].First
	}
	return m.Seq - int64(len(m.Tickets)) + 1
}

// base returns a state at or after the snapshot.
func (l *loader) base(ctx context.Context) (*ticket.State, int64, error) {
	if ss, ok := l.src.(StateSource); ok {
		return l.wholeState(ctx, ss)
	}
	keys := make([]string, l.m.Snapshot.Parts)
	for i := range keys {
		keys[i] = SnapshotKey(l.m.Snapshot, i)
	}
	parts, err := l.src.Objects(ctx, keys)
	if err != nil {
		return nil, 0, err
	}
	var data []byte
	for _, key := range keys {
		part, ok := parts[key]
		if !ok {
			return nil, 0, fmt.Errorf("%w: %s", ErrMissing, key)
		}
		data = append(data, part...)
	}
	if err := checkHash("snapshot", l.m.Snapshot.SHA256, data); err != nil {
		return nil, 0, err
	}
	state, err := ticket.DecodeState(data)
	return state, l.m.Snapshot.Seq, err
}

func (l *loader) wholeState(ctx context.Context, src StateSource) (*ticket.State, int64, error) {
	seq, data, err := src.State(ctx)
	if err != nil {
		return nil, 0, err
	}
	// A state that is newer than the manifest would put tickets in force that the manifest does not name.
	if seq > l.m.Seq || seq+1 < l.m.firstRef() {
		return nil, 0, fmt.Errorf("%w: its state is at %d, its manifest at %d; load again", ErrMissing, seq, l.m.Seq)
	}
	state, err := ticket.DecodeState(data)
	return state, seq, err
}

// follow applies the tickets after seq.
func (l *loader) follow(ctx context.Context, state *ticket.State, seq int64) (*ticket.State, error) {
	refs, err := l.refsAfter(ctx, seq)
	if err != nil || len(refs) == 0 {
		return state, err
	}
	keys := make([]string, len(refs))
	for i, ref := range refs {
		keys[i] = BodyKey(ref.Number, ref.SHA256)
	}
	bodies, err := l.objects(ctx, keys)
	if err != nil {
		return nil, err
	}
	tickets, hashes := make([]*ticket.Ticket, len(refs)), make([]string, len(refs))
	for i, ref := range refs {
		body := bodies[keys[i]]
		if err := checkHash(keys[i], ref.SHA256, body); err != nil {
			return nil, err
		}
		if tickets[i], err = ticket.Decode(body); err != nil {
			return nil, err
		}
		hashes[i] = ref.SHA256
	}
	return state.Replay(tickets, hashes), nil
}

// refsAfter returns the references with sequence numbers above seq, without a gap.
func (l *loader) refsAfter(ctx context.Context, seq int64) ([]TicketRef, error) {
	first := l.m.Seq - int64(len(l.m.Tickets)) + 1
	var refs []TicketRef
	for i, c := range l.m.Chunks {
		end := first
		if i+1 < len(l.m.Chunks) {
			end = l.m.Chunks[i+1].First
		}
		if end <= seq+1 {
			continue
		}
		key := ChunkKey(c)
		objects, err := l.objects(ctx, []string{key})
		if err != nil {
			return nil, err
		}
		chunk, err := decodeChunk(c, objects[key])
		if err != nil {
			return nil, err
		}
		refs = append(refs, chunk...)
	}
	refs = append(refs, l.m.Tickets...)
	for len(refs) > 0 && refs[0].Seq <= seq {
		refs = refs[1:]
	}
	for i, ref := range refs {
		if ref.Seq != seq+1+int64(i) {
			return nil, fmt.Errorf("manifest: reference %d follows %d; read the manifest from another source", ref.Seq, seq+int64(i))
		}
	}
	return refs, nil
}

// objects returns the values of all keys, from the reader's own objects where it has them.
func (l *loader) objects(ctx context.Context, keys []string) (map[string][]byte, error) {
	out, _ := l.reader.Objects(ctx, keys)
	var lack []string
	for _, key := range keys {
		if _, ok := out[key]; !ok {
			lack = append(lack, key)
		}
	}
	if len(lack) == 0 {
		return out, nil
	}
	got, err := l.src.Objects(ctx, lack)
	if err != nil {
		return nil, err
	}
	for _, key := range lack {
		value, ok := got[key]
		if !ok {
			return nil, fmt.Errorf("%w: %s", ErrMissing, key)
		}
		out[key], l.fetched[key] = value, value
	}
	return out, nil
}
