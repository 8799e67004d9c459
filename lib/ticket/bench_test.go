package ticket

import (
	"fmt"
	"testing"
)

// largeState returns a state with MaxRetainedNumbers accepted numbers, 5,000 keys, 510 models and 3,000 adapters.
func largeState() *State {
	s := EmptyState()
	s.Organisations["acme"] = Organisation{"acme", 1, 1, 1}
	for i := range int64(MaxRetainedNumbers) {
		s.Accepted = s.Accepted.With(i+1, HashBytes([]byte(fmt.Sprint(i))))
	}
	s.Floor = 1
	add := lastWritersEdit{cloned: map[int]bool{}}
	for i := range 5000 {
		k := Key{fmt.Sprint("key-", i), "acme", HashBytes([]byte(fmt.Sprint("k", i)))}
		s.Keys[k.SHA256] = k
		add.setNumber("key/"+k.Name, int64(i))
	}
	for i := range 510 {
		m := Model{Name: fmt.Sprint("model-", i), Bytes: 1, MaxOutput: 1, DeadlineMS: 1}
		s.Models[m.Name] = m
		add.setNumber("model/"+m.Name, int64(i))
	}
	for i := range 3000 {
		a := Adapter{Name: fmt.Sprint("adapter-", i), Model: fmt.Sprint("model-", i%510), Bytes: 1}
		s.Adapters[a.Name] = a
		add.setNumber("adapter/"+a.Name, int64(i))
	}
	s.Writers = add.w
	return s
}

func BenchmarkApply(b *testing.B) {
	s := largeState()
	b.ReportAllocs()
	for n := int64(MaxRetainedNumbers); b.Loop(); n++ {
		next, err := s.Apply(&Ticket{Number: n + 1, Organisations: []Organisation{{"acme", n, 1, 1}}})
		if err != nil {
			b.Fatal(err)
		}
		s = next
	}
}

// BenchmarkReplay measures what every host does for an accepted ticket.
func BenchmarkReplay(b *testing.B) {
	s := largeState()
	b.ReportAllocs()
	for n := int64(MaxRetainedNumbers); b.Loop(); n++ {
		t := &Ticket{Number: n + 1, Organisations: []Organisation{{"acme", n, 1, 1}}}
		s = s.Replay([]*Ticket{t}, []string{t.Hash()})
	}
}

func BenchmarkEncodeState(b *testing.B) {
	s := largeState()
	b.ReportAllocs()
	for b.Loop() {
		data, err := EncodeState(s)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "encoded-bytes")
	}
}

func BenchmarkDecodeState(b *testing.B) {
	data, err := EncodeState(largeState())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeState(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReplayTombstones is BenchmarkReplay on a state with many tombstones, as after a day or two of key
// replacements.
func BenchmarkReplayTombstones(b *testing.B) {
	s := largeState()
	add := lastWritersEdit{s.Writers, map[int]bool{}}
	for i := range int64(MaxRetainedNumbers) {
		add.setNumber(fmt.Sprint("key/old-", i), i+1)
	}
	s.Writers = add.w
	b.ReportAllocs()
	for n := int64(MaxRetainedNumbers); b.Loop(); n++ {
		t := &Ticket{Number: n + 1, Organisations: []Organisation{{"acme", n, 1, 1}}}
		s = s.Replay([]*Ticket{t}, []string{t.Hash()})
	}
}
