package manifest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/ticket"
)

const (
	// SnapshotEvery is the number of tickets after which a snapshot is due.
	SnapshotEvery = 1024
	// TrimDelay is the time between a snapshot and the deletion of what it replaces. Readers that are still
	// loading an older manifest finish meanwhile.
	TrimDelay = 10 * time.Minute
	// partSize keeps a part, which travels in base64, well below the largest value of the store.
	partSize = 512 << 10
	// trashPrefix is the prefix of the records of what a snapshot replaces.
	trashPrefix = "trash/"
	// trashKeys is the number of keys in one such record; a key has about 90 bytes.
	trashKeys = 4096
)

// Compact writes a snapshot if one is due, and deletes what earlier snapshots replaced once TrimDelay has
// passed since this writer first saw them in force. The active controller calls it every minute or so. It is
// safe with several callers, and any call may fail half-way.
func (w *Writer) Compact(ctx context.Context) error {
	cur, err := w.current(ctx)
	if err != nil {
		return err
	}
	if cur.Manifest.Seq-cur.Manifest.Snapshot.Seq >= SnapshotEvery {
		if _, err := w.Snapshot(ctx); err != nil {
			return err
		}
	}
	return w.Trim(ctx)
}

// current reads the manifest outside of a write.
func (w *Writer) current(ctx context.Context) (*Loaded, error) {
	select {
	case <-w.turn:
		defer func() { w.turn <- struct{}{} }()
	case <-ctx.Done():
		return nil, unavailable("another write is in progress")
	}
	cur, _, err := w.read(ctx)
	return cur, err
}

// Snapshot writes a snapshot of the newest state and puts it into the manifest in place of the chunks that
// it contains. The newest chunk and the references after it stay, so that readers which are a few tickets
// behind need not load the snapshot.
func (w *Writer) Snapshot(ctx context.Context) (*Manifest, error) {
	cur, err := w.current(ctx)
	if err != nil {
		return nil, err
	}
	ref, err := w.storeSnapshot(ctx, cur)
	if err != nil {
		return nil, err
	}
	replaced, err := w.recordTrash(ctx, cur, ref)
	if err != nil {
		return nil, err
	}
	return w.Update(ctx, func(m *Manifest) (Restriction, error) {
		if m.Snapshot.Seq >= ref.Seq {
			return Restriction{}, ErrNoChange
		}
		m.Snapshot = ref
		m.Chunks = slices.DeleteFunc(m.Chunks, func(c ChunkRef) bool { return slices.Contains(replaced, c) })
		return Restriction{}, nil
	})
}

func (w *Writer) storeSnapshot(ctx context.Context, cur *Loaded) (SnapshotRef, error) {
	data, err := ticket.EncodeState(cur.State)
	if err != nil {
		return SnapshotRef{}, err
	}
	ref := SnapshotRef{Seq: cur.Manifest.Seq, SHA256: ticket.HashBytes(data)}
	for part := range slices.Chunk(data, partSize) {
		if err := w.create(ctx, SnapshotKey(ref, ref.Parts), part); err != nil {
			return SnapshotRef{}, err
		}
		ref.Parts++
	}
	return ref, nil
}

// recordTrash stores the keys that become obsolete with the snapshot ref of cur, so that any later
// controller can delete them, and returns the chunks among them.
func (w *Writer) recordTrash(ctx context.Context, cur *Loaded, ref SnapshotRef) ([]ChunkRef, error) {
	var keys []string
	for i := range cur.Manifest.Snapshot.Parts {
		keys = append(keys, SnapshotKey(cur.Manifest.Snapshot, i))
	}
	l := loader{reader: w.reader, src: StoreSource{w.store}, fetched: map[string][]byte{}}
	replaced := cur.Manifest.Chunks[:max(len(cur.Manifest.Chunks)-1, 0)]
	for _, c := range replaced {
		key := ChunkKey(c)
		objects, err := l.objects(ctx, []string{key})
		if err != nil {
			return nil, err
		}
		refs, err := decodeChunk(c, objects[key])
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
		for _, t := range refs {
			keys = append(keys, BodyKey(t.Number, t.SHA256))
		}
	}
	part := 0
	for list := range slices.Chunk(keys, trashKeys) {
		data, err := json.Marshal(list)
		if err != nil {
			return nil, fmt.Errorf("manifest: encode trash: %w", err)
		}
		// The hash of the snapshot keeps records of concurrent snapshots of the same tickets apart.
		if err := w.create(ctx, fmt.Sprintf("%s%d-%s/%d", trashPrefix, ref.Seq, ref.SHA256, part), data); err != nil {
			return nil, err
		}
		part++
	}
	return replaced, nil
}

// Trim deletes what snapshots in force replaced and TrimDelay has passed over. Everything it deletes was
// referred to by a manifest that has been replaced, so that no writer can make it referred to again: its CAS
// would need the version of that manifest.
func (w *Writer) Trim(ctx context.Context) error {
	cur, err := w.current(ctx)
	if err != nil {
		return err
	}
	records, err := w.store.List(ctx, trashPrefix)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := w.trashSeen
	w.trashSeen = map[string]time.Time{}
	for _, record := range records {
		seq, err := trashSeq(record.Key)
		if err != nil {
			return err
		}
		if seq > cur.Manifest.Snapshot.Seq {
			continue // its snapshot never took effect, or not yet
		}
		first, ok := seen[record.Key]
		if !ok {
			first = time.Now()
		}
		w.trashSeen[record.Key] = first
		if time.Since(first) < TrimDelay {
			continue
		}
		if err := w.deleteTrash(ctx, record); err != nil {
			return err
		}
	}
	return nil
}

func trashSeq(key string) (int64, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, trashPrefix), "-")
	seq, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("manifest: bad key %s: %w; delete it by hand", key, err)
	}
	return seq, nil
}

// deleteTrash deletes what a record lists and then the record.
func (w *Writer) deleteTrash(ctx context.Context, record kv.Entry) error {
	var keys []string
	if err := json.Unmarshal(record.Value, &keys); err != nil {
		return fmt.Errorf("manifest: %s is damaged: %w; delete it by hand", record.Key, err)
	}
	for _, key := range keys {
		if err := w.delete(ctx, key); err != nil {
			return err
		}
	}
	return w.delete(ctx, record.Key)
}

func (w *Writer) delete(ctx context.Context, key string) error {
	e, err := get(ctx, w.store, key)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := w.store.Delete(ctx, key, e.Version); err != nil && !errors.Is(err, kv.ErrConflict) {
		return err
	}
	return nil
}
