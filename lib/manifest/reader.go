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
	// ErrNoManifest: the source has no manifest, because nothing was ever written or because the source is starting.
	ErrNoManifest = errors.New("manifest: the source has no manifest yet; send the first ticket")
	// ErrMissing: the source doesn't have an object that its manifest refers to.
	ErrMissing = errors.New("manifest: the source lacks an object; use another source")
)

// Source provides a manifest and the objects that manifests refer to: ticket bodies, chunks and parts of snapshots.
// A kv.Store (through StoreSource) and the Reader of another host are sources.
type Source interface {
	// Manifest returns the newest manifest that the source has, encoded, or ErrNoManifest.
	Manifest(ctx context.Context) ([]byte, error)
	// Objects returns the values of those keys that the source has.
	Objects(ctx context.Context, keys []string) (map[string][]byte, error)
}

// StateSource is a source that can also send a whole state, so that readers need not replay the log. Hosts are such
// sources.
type StateSource interface {
	Source
	// State returns a state in the form of ticket.EncodeState and the sequence number of the last ticket in it.
	State(ctx context.Context) (seq int64, encoded []byte, err error)
}

// StoreSource is the key-value service as a source. Each of its calls has a deadline of callTimeout.
type StoreSource struct{ Store kv.Store }

// maxParallelGets bounds the concurrent reads of one load; a host that starts reads up to about 1,100 bodies.
const maxParallelGets = 8

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
	group.SetLimit(maxParallelGets)
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

// Loaded is a manifest and the state that results from its tickets. It is immutable.
type Loaded struct {
	Manifest *Manifest
	Raw      []byte // encoded manifest
	State    *ticket.State
}

// objectCacheBytes bounds the memory for the objects that a reader keeps for other hosts. The bodies of a thousand
// tickets usually need a tenth of it; with larger ones, hosts that are far behind load a whole state instead.
const objectCacheBytes = 8 << 20

// Reader keeps the newest manifest that it has loaded and the state of that manifest. It never returns to a lower
// revision, and it loads only objects that it doesn't have. It is a StateSource for other hosts. All methods are safe
// for concurrent use.
type Reader struct {
	mu          sync.Mutex
	newest      *Loaded           // guarded by mu; nil before the first load
	objects     map[string][]byte // guarded by mu; chunks and bodies that newest refers to, as far as cached
	objectBytes int               // guarded by mu; total size of objects
	encoded     encodedState      // guarded by mu
}

// encodedState is an encoded state, cached for the next host that starts.
type encodedState struct {
	seq  int64
	data []byte
}

// NewReader returns a reader that has loaded nothing.
func NewReader() *Reader { return &Reader{objects: map[string][]byte{}} }

// Newest returns the newest manifest loaded and its state, or nil before the first load.
func (r *Reader) Newest() *Loaded {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// Load loads the manifest of src and its state if that manifest is newer than the reader's, and returns the newest
// of both.
func (r *Reader) Load(ctx context.Context, src Source) (*Loaded, error) {
	raw, err := src.Manifest(ctx)
	if err != nil {
		return nil, err
	}
	return r.LoadRaw(ctx, raw, src)
}

// LoadRaw is Load for an encoded manifest that the caller already has; src provides the objects.
func (r *Reader) LoadRaw(ctx context.Context, raw []byte, src Source) (*Loaded, error) {
	current := r.Newest()
	if current != nil && bytes.Equal(current.Raw, raw) {
		return current, nil
	}
	m, err := Decode(raw)
	if err != nil {
		return nil, err
	}
	if current != nil && m.Revision <= current.Manifest.Revision {
		return current, nil
	}
	l := loader{reader: r, src: src, m: m, fetched: map[string][]byte{}}
	state, err := l.load(ctx, current)
	if err != nil {
		return nil, err
	}
	return r.install(&Loaded{Manifest: m, Raw: bytes.Clone(raw), State: state}, l.fetched), nil
}

// install makes next the newest manifest unless a concurrent load installed the same or a higher revision, and
// returns the newest one.
func (r *Reader) install(next *Loaded, fetched map[string][]byte) *Loaded {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest != nil && next.Manifest.Revision <= r.newest.Manifest.Revision {
		return r.newest
	}
	for key, value := range fetched {
		r.putObject(key, value)
	}
	old := r.newest
	r.newest = next
	// No object becomes obsolete while the list of chunks stays the same, and decoding all chunks for every ticket
	// is slow.
	if old == nil || !slices.Equal(old.Manifest.Chunks, next.Manifest.Chunks) || r.objectBytes > objectCacheBytes {
		r.prune()
	}
	return next
}

// cacheObject adds an object that this host wrote to the cached ones.
func (r *Reader) cacheObject(key string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putObject(key, value)
}

// putObject adds an object to the cached ones; the caller holds mu.
func (r *Reader) putObject(key string, value []byte) {
	r.objectBytes += len(value) - len(r.objects[key])
	r.objects[key] = value
}

// prune drops all cached objects except the chunks that the newest manifest refers to and its newest bodies, as many
// as fit into objectCacheBytes; the caller holds mu.
func (r *Reader) prune() {
	m := r.newest.Manifest
	old := r.objects
	r.objects, r.objectBytes = map[string][]byte{}, 0
	keepBodies := func(refs []TicketRef) {
		for _, t := range slices.Backward(refs) {
			key := BodyKey(t.Number, t.SHA256)
			if value, ok := old[key]; ok && r.objectBytes+len(value) <= objectCacheBytes {
				r.putObject(key, value)
			}
		}
	}
	keepBodies(m.Tickets)
	for _, c := range slices.Backward(m.Chunks) {
		key := ChunkKey(c)
		if refs, err := decodeChunk(c, old[key]); err == nil {
			r.putObject(key, old[key])
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

// State implements StateSource. Encoding takes a tenth of a second at the large size, so one encoded state is sent
// to all hosts that start until it is ChunkSize tickets old; they load the newer tickets from the log.
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

// loader loads the state of one manifest.
type loader struct {
	reader  *Reader
	src     Source
	m       *Manifest
	fetched map[string][]byte // objects that src sent
}

// load returns the state of l.m. It starts from current if the log goes back that far; current may be nil.
func (l *loader) load(ctx context.Context, current *Loaded) (*ticket.State, error) {
	state, seq := ticket.EmptyState(), int64(0)
	if current != nil {
		state, seq = current.State, current.Manifest.Seq
	}
	if seq+1 < l.m.firstRef() {
		var err error
		if state, seq, err = l.loadBase(ctx); err != nil {
			return nil, err
		}
	}
	next, err := l.applyAfter(ctx, state, seq)
	if ss, ok := l.src.(StateSource); ok && errors.Is(err, ErrMissing) {
		if state, seq, err = l.loadWholeState(ctx, ss); err != nil {
			return nil, err
		}
		return l.applyAfter(ctx, state, seq)
	}
	return next, err
}

// firstRef returns the lowest sequence number that chunks and ticket references still cover.
func (m *Manifest) firstRef() int64 {
	if len(m.Chunks) > 0 {
		return m.Chunks[0].First
	}
	return m.Seq - int64(len(m.Tickets)) + 1
}

// loadBase returns a state from which the log can be applied, and its sequence number: the state of the source, or
// else the snapshot.
func (l *loader) loadBase(ctx context.Context) (*ticket.State, int64, error) {
	if ss, ok := l.src.(StateSource); ok {
		return l.loadWholeState(ctx, ss)
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

// loadWholeState returns the state that src sends, and its sequence number.
func (l *loader) loadWholeState(ctx context.Context, src StateSource) (*ticket.State, int64, error) {
	seq, data, err := src.State(ctx)
	if err != nil {
		return nil, 0, err
	}
	// A state newer than the manifest contains tickets that the manifest does not refer to.
	if seq > l.m.Seq || seq+1 < l.m.firstRef() {
		return nil, 0, fmt.Errorf("%w: its state is at sequence number %d, its manifest at %d; load again",
			ErrMissing, seq, l.m.Seq)
	}
	state, err := ticket.DecodeState(data)
	return state, seq, err
}

// applyAfter applies the tickets with sequence numbers above seq to state.
func (l *loader) applyAfter(ctx context.Context, state *ticket.State, seq int64) (*ticket.State, error) {
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
			return nil, fmt.Errorf("manifest: ticket reference %d follows %d; read the manifest from another source",
				ref.Seq, seq+int64(i))
		}
	}
	return refs, nil
}

// objects returns the values of all keys. It asks the source only for those that the reader has not cached.
func (l *loader) objects(ctx context.Context, keys []string) (map[string][]byte, error) {
	out, _ := l.reader.Objects(ctx, keys)
	var missing []string
	for _, key := range keys {
		if _, ok := out[key]; !ok {
			missing = append(missing, key)
		}
	}
	if len(missing) == 0 {
		return out, nil
	}
	fetched, err := l.src.Objects(ctx, missing)
	if err != nil {
		return nil, err
	}
	for _, key := range missing {
		value, ok := fetched[key]
		if !ok {
			return nil, fmt.Errorf("%w: %s", ErrMissing, key)
		}
		out[key], l.fetched[key] = value, value
	}
	return out, nil
}
