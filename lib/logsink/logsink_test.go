package logsink

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
)

// Guards against a flood of request lines that displaces a rare line, and against a buffer without bound.
func TestRequestLinesDoNotDisplaceRareLines(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	requests := w.Lossy()
	line := []byte(strings.Repeat("r", 199) + "\n")
	for range 10_000 {
		if _, err := requests.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.Write([]byte("rare\n")); err != nil {
		t.Fatal(err)
	}
	w.Flush(nil)
	if !strings.HasSuffix(out.String(), "rare\n") || out.Len() > maxPendingBytes {
		t.Errorf("%d bytes written, the rare line last: %v", out.Len(), strings.HasSuffix(out.String(), "rare\n"))
	}
	if got, want := w.Dropped(), float64(10_000-maxLossyPendingBytes/len(line)); got != want {
		t.Errorf("%v lines counted as dropped, %v were", got, want)
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("closed") }

// Guards against lines that are lost to a failed write without being counted.
func TestFailedWritesAreCounted(t *testing.T) {
	w := New(failingWriter{})
	stop := make(chan struct{})
	close(stop)
	_, _ = w.Write([]byte("x\n"))
	w.Run(stop)
	if w.Dropped() != 1 {
		t.Errorf("%v", w.Dropped())
	}
}

func BenchmarkLossyLogLine(b *testing.B) {
	w := New(&bytes.Buffer{})
	log := slog.New(slog.NewJSONHandler(w.Lossy(), nil)).With("host", "h", "zone", "z")
	b.ReportAllocs()
	var spare []byte
	for i := 0; b.Loop(); i++ {
		log.LogAttrs(b.Context(), slog.LevelInfo, "attempt", slog.String("request_id", "4eba0c297b9f9826"),
			slog.String("target", "i-2a8528206a"), slog.Int64("beat", 25), slog.Float64("expected_ms", 208.7),
			slog.String("outcome", "answered"), slog.Int("status", 200))
		if i%500 == 0 {
			spare = w.Flush(spare)
		}
	}
}
