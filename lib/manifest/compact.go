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
	// TicketsPerSnapshot is the number of tickets after which Compact writes a new snapshot.
	TicketsPerSnapshot = 1024
	// ObsoleteKeyDelay is the time between a snapshot and the deletion of the keys that it makes obsolete. It lets readers
	// that are still loading an older manifest finish.
	ObsoleteKeyDelay = 10 * time.Minute
	// snapshotPartBytes keeps a part, which is sent in base64, well below the largest value of the store.
	snapshotPartBytes = 512 << 10
	// obsoletePrefix is the key prefix of the records that list obsolete keys.
	obsoletePrefix = "trash/"
	// obsoleteKeysPerRecord limits the size of a record; a key has about 90 bytes.
	obsoleteKeysPerRecord = 4096
)

// Compact writes a snapshot if TicketsPerSnapshot tickets were accepted since the last one, and deletes the keys that
// earlier snapshots made obsolete once ObsoleteKeyDelay has passed since this writer first saw those snapshots in force.
// The active controller calls it about once a minute. Several writers may call it at once, and a call that fails half-way
// does no harm.
func (w *Writer) Compact(ctx context.Context) error {
	cur, err := w.current(ctx)
	if err != nil {
		return err
	}
	if cur.Manifest.Seq-cur.Manifest.Snapshot.Seq >= TicketsPerSnapshot {
		if _, err := w.Snapshot(ctx); err != nil {
			return err
		}
	}
	return w.DeleteObsolete(ctx)
}

// current reads the newest manifest and its state between writes.
func (w *Writer) current(ctx context.Context) (*Loaded, error) {
	select {
	case <-w.writeLock:
		defer func() { w.writeLock <- struct{}{} }()
	case <-ctx.Done():
		return nil, unavailable("another write is in progress")
	}
	cur, _, err := w.read(ctx)
	return cur, err
}

// Snapshot stores a snapshot of the newest state and replaces the chunks that it contains by it in the manifest.
// The newest chunk and the references after it stay, so that readers which are a few tickets behind need not load
// the snapshot.
func (w *Writer) Snapshot(ctx context.Context) (*Manifest, error) {
	cur, err := w.current(ctx)
	if err != nil {
		return nil, err
	}
	ref, err := w.storeSnapshot(ctx, cur)
	if err != nil {
		return nil, err
	}
	replaced, err := w.recordObsoleteKeys(ctx, cur, ref)
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
	for part := range slices.Chunk(data, snapshotPartBytes) {
		if err := w.create(ctx, SnapshotKey(ref, ref.Parts), part); err != nil {
			return SnapshotRef{}, err
		}
		ref.Parts++
	}
	return ref, nil
}

// recordObsoleteKeys stores lists of the keys that become obsolete once the snapshot ref of cur is in force, so that
// any later controller can delete them. It returns the chunks among them.
func (w *Writer) recordObsoleteKeys(ctx context.Context, cur *Loaded, ref SnapshotRef) ([]ChunkRef, error) {
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
	for list := range slices.Chunk(keys, obsoleteKeysPerRecord) {
		data, err := json.Marshal(list)
		if err != nil {
			return nil, fmt.Errorf("manifest: encode obsolete keys: %w", err)
		}
		// The hash of the snapshot keeps records of concurrent snapshots of the same tickets apart.
		if err := w.create(ctx, fmt.Sprintf("%s%d-%s/%d", obsoletePrefix, ref.Seq, ref.SHA256, part), data); err != nil {
			return nil, err
		}
		part++
	}
	return replaced, nil
}

// DeleteObsolete deletes the keys that snapshots made obsolete, once ObsoleteKeyDelay has passed since it first saw
// the snapshot in force. Only manifests that have been replaced refer to these keys. No writer can bring such a manifest
// back, because its CAS would need the version of that manifest.
func (w *Writer) DeleteObsolete(ctx context.Context) error {
	cur, err := w.current(ctx)
	if err != nil {
		return err
	}
	records, err := w.store.List(ctx, obsoletePrefix)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.recordSeenAt
	w.recordSeenAt = map[string]time.Time{}
	for _, record := range records {
		seq, err := obsoleteRecordSeq(record.Key)
		if err != nil {
			return err
		}
		if seq > cur.Manifest.Snapshot.Seq {
			continue // the snapshot of this record has not taken effect, and may never do so
		}
		first, ok := previous[record.Key]
		if !ok {
			first = time.Now()
		}
		w.recordSeenAt[record.Key] = first
		if time.Since(first) < ObsoleteKeyDelay {
			continue
		}
		if err := w.deleteObsoleteKeys(ctx, record); err != nil {
			return err
		}
	}
	return nil
}

func obsoleteRecordSeq(key string) (int64, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, obsoletePrefix), "-")
	seq, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("manifest: key %s has no sequence number: %w; delete it by hand", key, err)
	}
	return seq, nil
}

// deleteObsoleteKeys deletes the keys that a record lists and then the record.
func (w *Writer) deleteObsoleteKeys(ctx context.Context, record kv.Entry) error {
	var keys []string
	if err := json.Unmarshal(record.Value, &keys); err != nil {
		return fmt.Errorf("manifest: cannot decode %s: %w; delete it by hand", record.Key, err)
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
