package httpengine

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func parseAll(src io.Reader) (events []rawEvent, err error) {
	p := eventParser{source: src}
	for {
		ev, err := p.next()
		if err != nil {
			return events, err
		}
		ev.data, ev.comment = bytes.Clone(ev.data), bytes.Clone(ev.comment)
		events = append(events, ev)
	}
}

// Guards against events that are lost, merged or invented, for example when an event is split across reads.
func TestEventParserIsIndependentOfReadSizes(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		ids  []int64
		data []string
		fail bool
	}{
		"plain":           {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int64{1, 2}, []string{"a", "b"}, false},
		"carriage return": {"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", []int64{1, 2}, []string{"a", "b"}, false},
		"several lines":   {"data: a\ndata:b\ndata:\nid:7\n\n", []int64{7}, []string{"a\nb\n"}, false},
		"comment":         {": ping\n\nid: 1\n: x\ndata: a\n\n", []int64{-1, 1}, []string{"", "a"}, false},
		"cut event":       {"id: 1\ndata: a\n\nid: 2\ndata: b\n", []int64{1}, []string{"a"}, false},
		"bad id":          {"id: x\ndata: a\n\n", nil, nil, true},
		"huge id":         {"id: 99999999999999999999\ndata: a\n\n", nil, nil, true},
	} {
		for _, src := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
			events, err := parseAll(src)
			if errors.Is(err, errBadEvent) != c.fail || len(events) != len(c.ids) {
				t.Errorf("%s: %d events, %v", name, len(events), err)
				continue
			}
			for i, ev := range events {
				if ev.id != c.ids[i] || string(ev.data) != c.data[i] {
					t.Errorf("%s: event %d is %d %q", name, i, ev.id, ev.data)
				}
			}
		}
	}
}

// Guards against an engine that fills the gateway's memory with one event.
func TestEventParserRefusesTooLargeEvent(t *testing.T) {
	_, err := parseAll(io.LimitReader(endlessReader{}, 64<<20))
	if !errors.Is(err, errEventTooLarge) {
		t.Errorf("got error %v, want %v", err, errEventTooLarge)
	}
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return copy(p, strings.Repeat("a", len(p))), nil }

// FuzzEventParser guards against panics and against results that depend on how the bytes are split into reads.
func FuzzEventParser(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: ping\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		whole, err1 := parseAll(bytes.NewReader(in))
		cut = min(max(cut, 0), len(in))
		parts, err2 := parseAll(io.MultiReader(bytes.NewReader(in[:cut]), iotest.OneByteReader(bytes.NewReader(in[cut:]))))
		if len(whole) != len(parts) || (err1 == io.EOF) != (err2 == io.EOF) {
			t.Fatalf("%d events and %v in one read, %d and %v in several", len(whole), err1, len(parts), err2)
		}
		for i := range whole {
			if whole[i].id != parts[i].id || !bytes.Equal(whole[i].data, parts[i].data) {
				t.Fatalf("event %d depends on how the bytes are split into reads", i)
			}
		}
	})
}
