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

// maxChunkEntries bounds the entries that an insertion copies. With a plain map of 100,000 numbers, the copy took
// most of the 6.7 ms that every host needed for a ticket.
const maxChunkEntries = 512

// AcceptedNumbers is an immutable map from ticket numbers to content hashes. Copies share their content.
// The zero value is empty.
type AcceptedNumbers struct {
	chunks [][]numberHash // sorted by number, none empty, never changed in place
	count  int
}

type numberHash struct {
	number int64
	hash   [32]byte
}

func compareNumber(e numberHash, number int64) int { return cmp.Compare(e.number, number) }

// Len returns the number of entries.
func (n AcceptedNumbers) Len() int { return n.count }

// Get returns the content hash of the ticket with the given number, in lower-case hex.
func (n AcceptedNumbers) Get(number int64) (hash string, ok bool) {
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

// All yields numbers and hashes (lower-case hex) in ascending order of the numbers.
func (n AcceptedNumbers) All() iter.Seq2[int64, string] {
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

// With returns a copy of n in which number has the given hash, in hex. The rest of a malformed or
// short hash counts as zeros.
func (n AcceptedNumbers) With(number int64, hash string) AcceptedNumbers {
	e := numberHash{number: number}
	_, _ = hex.Decode(e.hash[:], []byte(hash)[:min(len(hash), 64)])
	i := n.chunkOf(number)
	if last := len(n.chunks) - 1; i > last && last >= 0 && len(n.chunks[last]) < maxChunkEntries {
		i = last // append to the last chunk while it isn't full
	}
	if i == len(n.chunks) {
		return AcceptedNumbers{append(slices.Clip(n.chunks), []numberHash{e}), n.count + 1}
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
	if len(chunk) <= maxChunkEntries {
		chunks[i] = chunk
	} else {
		half := len(chunk) / 2
		chunks = slices.Replace(chunks, i, i+1, slices.Clone(chunk[:half]), slices.Clone(chunk[half:]))
	}
	return AcceptedNumbers{chunks, n.count}
}

// chunkOf returns the index of the first chunk whose last number is not below number.
func (n AcceptedNumbers) chunkOf(number int64) int {
	return sort.Search(len(n.chunks), func(i int) bool {
		return n.chunks[i][len(n.chunks[i])-1].number >= number
	})
}

// newest returns the entries with the count highest numbers, and the lowest of these numbers. n must not be empty
// and count must be positive.
func (n AcceptedNumbers) newest(count int) (AcceptedNumbers, int64) {
	chunks := slices.Clone(n.chunks)
	for drop := n.count - count; drop > 0; {
		k := min(drop, len(chunks[0]))
		chunks[0] = chunks[0][k:]
		drop -= k
		if len(chunks[0]) == 0 {
			chunks = chunks[1:]
		}
	}
	return AcceptedNumbers{chunks, min(n.count, count)}, chunks[0][0].number
}

// MarshalJSON encodes all entries as one base64 string. Each entry is the difference from the previous number as
// a varint, followed by the 32 bytes of the hash.
func (n AcceptedNumbers) MarshalJSON() ([]byte, error) {
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

// UnmarshalJSON decodes the result of MarshalJSON.
func (n *AcceptedNumbers) UnmarshalJSON(text []byte) error {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return err
	}
	*n = AcceptedNumbers{}
	var chunk []numberHash
	last := int64(0)
	for len(data) > 0 {
		delta, size := binary.Uvarint(data)
		if size <= 0 || len(data) < size+32 || delta == 0 || delta > uint64(1<<63-1-last) {
			return errors.New("ticket: stored list of accepted ticket numbers is damaged")
		}
		last += int64(delta)
		chunk = append(chunk, numberHash{last, [32]byte(data[size : size+32])})
		data = data[size+32:]
		n.count++
		if len(chunk) == maxChunkEntries || len(data) == 0 {
			n.chunks = append(n.chunks, slices.Clip(chunk))
			chunk = nil
		}
	}
	return nil
}
