package ticket

import (
	"encoding/json"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// writerShards bounds the copy that a change makes to a small part of the map.
const writerShards = 256

// Writers is an immutable map from the index of an object (kind, slash, name) to the number of the ticket
// that wrote it last. Copies share their content. The zero value is empty.
type Writers struct {
	shards []map[string]int64 // nil, or writerShards maps that are never changed in place
	count  int
}

func shardOf(index string) int { return int(xxhash.Sum64String(index) % writerShards) }

// Len returns the number of entries.
func (w Writers) Len() int { return w.count }

// Get returns the number of the ticket that wrote the object last.
func (w Writers) Get(ref Ref) (number int64, ok bool) {
	if w.shards == nil {
		return 0, false
	}
	index := ref.String()
	number, ok = w.shards[shardOf(index)][index]
	return number, ok
}

// All yields the entries in no particular order.
func (w Writers) All() iter.Seq2[string, int64] {
	return func(yield func(string, int64) bool) {
		for _, shard := range w.shards {
			for index, number := range shard {
				if !yield(index, number) {
					return
				}
			}
		}
	}
}

// With returns w with the number of every object set that one of ts touches, in their order.
func (w Writers) With(ts []*Ticket) Writers {
	edit := writersEdit{Writers{slices.Clone(w.shards), w.count}, map[int]bool{}}
	for _, t := range ts {
		for ref := range t.Touched() {
			edit.set(ref.String(), t.Number)
		}
	}
	return edit.w
}

// filter returns the entries that keep accepts.
func (w Writers) filter(keep func(index string, number int64) bool) Writers {
	edit := writersEdit{cloned: map[int]bool{}}
	for index, number := range w.All() {
		if keep(index, number) {
			edit.set(index, number)
		}
	}
	return edit.w
}

// writersEdit changes a copy of which some shards are its own.
type writersEdit struct {
	w      Writers
	cloned map[int]bool
}

func (e *writersEdit) set(index string, number int64) {
	if e.w.shards == nil {
		e.w.shards = make([]map[string]int64, writerShards)
	}
	i := shardOf(index)
	if !e.cloned[i] {
		e.cloned[i] = true
		e.w.shards[i] = maps.Clone(e.w.shards[i])
		if e.w.shards[i] == nil {
			e.w.shards[i] = map[string]int64{}
		}
	}
	before := len(e.w.shards[i])
	e.w.shards[i][index] = number
	e.w.count += len(e.w.shards[i]) - before
}

// MarshalJSON encodes the entries as one object.
func (w Writers) MarshalJSON() ([]byte, error) { return json.Marshal(maps.Collect(w.All())) }

// UnmarshalJSON reverses MarshalJSON.
func (w *Writers) UnmarshalJSON(data []byte) error {
	var entries map[string]int64
	if err := json.Unmarshal(data, &entries); err != nil {
		return err
	}
	edit := writersEdit{cloned: map[int]bool{}}
	for index, number := range entries {
		edit.set(index, number)
	}
	*w = edit.w
	return nil
}
