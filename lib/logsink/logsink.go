// Package logsink writes log lines without ever blocking the caller: lines are collected in memory and written in the
// background, and those above the bound are dropped and counted.
package logsink

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the lines that wait to be written, in bytes.
	maxPending = 256 << 10
	// lossyPending bounds them for lines of requests. The rest is for the rare lines that explain a storm of these.
	lossyPending = 192 << 10
	// flushTime is the time between two writes.
	flushTime = 100 * time.Millisecond
)

// Writer implements io.Writer. Each call of Write is one line.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte // guarded by mu
	dropped int64  // guarded by mu; lines
	failed  int64  // guarded by mu; lines lost to errors of out
}

// New returns a writer to out. Run must be called for anything to be written.
func New(out io.Writer) *Writer { return &Writer{out: out} }

// Write implements io.Writer. It never fails.
func (w *Writer) Write(line []byte) (int, error) { return w.add(line, maxPending) }

// Lossy returns a writer for the lines of requests, which are dropped earlier than others.
func (w *Writer) Lossy() io.Writer { return lossy{w} }

type lossy struct{ w *Writer }

// Write implements io.Writer.
func (l lossy) Write(line []byte) (int, error) { return l.w.add(line, lossyPending) }

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

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return float64(w.dropped + w.failed)
}

// Run writes until stop is closed.
func (w *Writer) Run(stop <-chan struct{}) {
	tick := time.NewTicker(flushTime)
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

// Flush writes what is pending. It takes a buffer for the lines that follow and returns the one that was written.
func (w *Writer) Flush(spare []byte) []byte {
	w.mu.Lock()
	full := w.pending
	w.pending = spare[:0]
	w.mu.Unlock()
	if len(full) == 0 {
		return full
	}
	if _, err := w.out.Write(full); err != nil {
		w.mu.Lock()
		w.failed++
		w.mu.Unlock()
	}
	return full
}
