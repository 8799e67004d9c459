package ticket

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"iter"
	"slices"
	"sort"
)

// chunkEntries bounds the copy that an insertion makes. With 100,000 numbers and a plain map, copying took
// most of the 6.7 ms that every host spent on a ticket.
const chunkEntries = 512

// Numbers is an immutable set of ticket numbers with the content hash of each. Copies share their content.
// The zero value is empty.
type Numbers struct {
	chunks [][]numberHash // sorted by number, none empty, never changed in place
	count  int
}

type numberHash struct {
	number int64
	hash   [32]byte
}

func compareNumber(e numberHash, number int64) int { return cmp.Compare(e.number, number) }

// Len returns the number of entries.
func (n Numbers) Len() int { return n.count }

// Get returns the content hash of a number in lower-case hex.
func (n Numbers) Get(number int64) (hash string, ok bool) {
	i := n.chunkOf(number)
	if i == len(n.chunks) {
		return "", false
	}
	j, ok := slices.BinarySearchFunc(n.chunks[i], number, compareNumber)
	if !ok {
		return "", false
	}
	return hex.EncodeToString(n.chunks[i][j].hash[:]), true
}

// All yields the entries in the order of their numbers.
func (n Numbers) All() iter.Seq2[int64, string] {
	return func(yield func(int64, string) bool) {
		for _, chunk := range n.chunks {
			for _, e := range chunk {
				if !yield(e.number, hex.EncodeToString(e.hash[:])) {
					return
				}
			}
		}
	}
}

// With returns n with a number added or replaced. The hash is in hex; a malformed one counts as zeros.
func (n Numbers) With(number int64, hash string) Numbers {
	e := numberHash{number: number}
	_, _ = hex.Decode(e.hash[:], []byte(hash)[:min(len(hash), 64)])
	i := n.chunkOf(number)
	if last := len(n.chunks) - 1; i > last && last >= 0 && len(n.chunks[last]) < chunkEntries {
		i = last // append to the last chunk while it has room
	}
	if i == len(n.chunks) {
		return Numbers{append(slices.Clip(n.chunks), []numberHash{e}), n.count + 1}
	}
	j, found := slices.BinarySearchFunc(n.chunks[i], number, compareNumber)
	chunk := slices.Clone(n.chunks[i])
	if found {
		chunk[j] = e
	} else {
		chunk = slices.Insert(chunk, j, e)
		n.count++
	}
	chunks := slices.Clone(n.chunks)
	if len(chunk) <= chunkEntries {
		chunks[i] = chunk
	} else {
		half := len(chunk) / 2
		chunks = slices.Replace(chunks, i, i+1, slices.Clone(chunk[:half]), slices.Clone(chunk[half:]))
	}
	return Numbers{chunks, n.count}
}

// chunkOf returns the index of the first chunk whose last number is not below number.
func (n Numbers) chunkOf(number int64) int {
	return sort.Search(len(n.chunks), func(i int) bool {
		return n.chunks[i][len(n.chunks[i])-1].number >= number
	})
}

// newest returns the newest count entries and the smallest number among them.
func (n Numbers) newest(count int) (Numbers, int64) {
	chunks := slices.Clone(n.chunks)
	for drop := n.count - count; drop > 0; {
		k := min(drop, len(chunks[0]))
		chunks[0] = chunks[0][k:]
		drop -= k
		if len(chunks[0]) == 0 {
			chunks = chunks[1:]
		}
	}
	return Numbers{chunks, min(n.count, count)}, chunks[0][0].number
}

// MarshalJSON encodes all entries into one string of differences of numbers and of hashes.
func (n Numbers) MarshalJSON() ([]byte, error) {
	data := make([]byte, 0, n.count*(32+2))
	last := int64(0)
	for _, chunk := range n.chunks {
		for _, e := range chunk {
			data = binary.AppendUvarint(data, uint64(e.number-last))
			data = append(data, e.hash[:]...)
			last = e.number
		}
	}
	return json.Marshal(data)
}

// UnmarshalJSON reverses MarshalJSON.
func (n *Numbers) UnmarshalJSON(text []byte) error {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return err
	}
	*n = Numbers{}
	var chunk []numberHash
	last := int64(0)
	for len(data) > 0 {
		delta, size := binary.Uvarint(data)
		if size <= 0 || len(data) < size+32 || delta == 0 || delta > uint64(1<<63-1-last) {
			return errors.New("ticket: accepted numbers are damaged")
		}
		last += int64(delta)
		chunk = append(chunk, numberHash{last, [32]byte(data[size : size+32])})
		data = data[size+32:]
		n.count++
		if len(chunk) == chunkEntries || len(data) == 0 {
			n.chunks = append(n.chunks, slices.Clip(chunk))
			chunk = nil
		}
	}
	return nil
}
