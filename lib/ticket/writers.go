package ticket

import (
	"encoding/json"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// writerShardCount is the number of shards of LastWriters. A change copies only the shards that it writes to.
const writerShardCount = 256

// LastWriters is an immutable map from the index of an object ("kind/name", as Ref.String returns it) to the number of
// the ticket that last wrote or deleted it. Copies share their content. The zero value is empty.
type LastWriters struct {
	shards []map[string]int64 // nil, or writerShardCount maps that are never changed in place
	count  int
}

func shardOf(index string) int { return int(xxhash.Sum64String(index) % writerShardCount) }

// Len returns the number of entries.
func (w LastWriters) Len() int { return w.count }

// Get returns the number of the ticket that last wrote or deleted the object.
func (w LastWriters) Get(ref Ref) (number int64, ok bool) {
	if w.shards == nil {
		return 0, false
	}
	index := ref.String()
	number, ok = w.shards[shardOf(index)][index]
	return number, ok
}

// All yields the entries in no particular order.
func (w LastWriters) All() iter.Seq2[string, int64] {
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

// With returns a copy of w in which each object that one of ts touches has the number of that ticket. If several
// tickets touch an object, the last of them in ts counts.
func (w LastWriters) With(ts []*Ticket) LastWriters {
	edit := lastWritersEdit{LastWriters{slices.Clone(w.shards), w.count}, map[int]bool{}}
	for _, t := range ts {
		for ref := range t.Touched() {
			edit.setNumber(ref.String(), t.Number)
		}
	}
	return edit.w
}

// filter returns a copy of w with just the entries for which keep returns true.
func (w LastWriters) filter(keep func(index string, number int64) bool) LastWriters {
	edit := lastWritersEdit{cloned: map[int]bool{}}
	for index, number := range w.All() {
		if keep(index, number) {
			edit.setNumber(index, number)
		}
	}
	return edit.w
}

// lastWritersEdit builds a changed copy of LastWriters. It clones each shard before its first change, so that the original
// stays as it is.
type lastWritersEdit struct {
	w      LastWriters
	cloned map[int]bool // indices of the shards that belong to w alone
}

func (e *lastWritersEdit) setNumber(index string, number int64) {
	if e.w.shards == nil {
		e.w.shards = make([]map[string]int64, writerShardCount)
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

// MarshalJSON encodes the entries as one JSON object.
func (w LastWriters) MarshalJSON() ([]byte, error) { return json.Marshal(maps.Collect(w.All())) }

// UnmarshalJSON decodes the result of MarshalJSON.
func (w *LastWriters) UnmarshalJSON(data []byte) error {
	var entries map[string]int64
	if err := json.Unmarshal(data, &entries); err != nil {
		return err
	}
	edit := lastWritersEdit{cloned: map[int]bool{}}
	for index, number := range entries {
		edit.setNumber(index, number)
	}
	*w = edit.w
	return nil
}
