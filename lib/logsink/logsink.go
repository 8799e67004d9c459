// Package logsink writes log lines without blocking the caller: lines are buffered in memory and written in the
// background; those that do not fit into the buffer are dropped and counted.
package logsink

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the buffered lines.
	maxPendingBytes = 256 << 10
	// maxLossyPendingBytes is the smaller limit that applies to lines of requests. The rest of the buffer is reserved for
	// the rare lines that explain a flood of request lines.
	maxLossyPendingBytes = 192 << 10
	// flushInterval is the time between two writes of the buffer.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers log lines and writes them in the background. Each call of Write is one line. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte // guarded by mu
	dropped int64  // guarded by mu; lines
	failed  int64  // guarded by mu; failed writes of out, each counted as one line
}

// New returns a writer to out. Lines are only written by Run and Flush.
func New(out io.Writer) *Writer { return &Writer{out: out} }

// Write implements io.Writer. It never fails: lines above the limit are dropped.
func (w *Writer) Write(line []byte) (int, error) { return w.add(line, maxPendingBytes) }

// Lossy returns a writer for the lines of requests, which are dropped earlier than other lines.
func (w *Writer) Lossy() io.Writer { return lossyWriter{w} }

type lossyWriter struct{ w *Writer }

// Write implements io.Writer.
func (l lossyWriter) Write(line []byte) (int, error) { return l.w.add(line, maxLossyPendingBytes) }

// add buffers a line, or drops it if more than limit bytes would be buffered.
func (w *Writer) add(line []byte, limit int) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > limit {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Dropped returns the number of dropped lines plus the number of failed writes.
func (w *Writer) Dropped() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.dropped + w.failed)
}

// Run writes buffered lines periodically until stop is closed, and then once more.
func (w *Writer) Run(stop <-chan struct{}) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	var spare []byte
	for {
		select {
		case <-tick.C:
		case <-stop:
			w.Flush(spare)
			return
		}
		spare = w.Flush(spare)
	}
}

// Flush writes the buffered lines. Further lines are buffered in spare, whose content is overwritten; Flush returns the
// written buffer, which the caller may pass as spare to the next call.
func (w *Writer) Flush(spare []byte) []byte {
	w.mu.Lock()
	batch := w.pending
	w.pending = spare[:0]
	w.mu.Unlock()
	if len(batch) == 0 {
		return batch
	}
	if _, err := w.out.Write(batch); err != nil {
		w.mu.Lock()
		w.failed++
		w.mu.Unlock()
	}
	return batch
}
