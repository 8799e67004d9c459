// Package deflate compresses what hosts send each other: texts with many repetitions, over links that requests share.
package deflate

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrTooLarge means that data exceeds its size limit after decompression.
var ErrTooLarge = errors.New("deflate: decompressed data too large")

// writers holds *flate.Writer for reuse.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil { // the level is valid
		panic(err)
	}
	return w
}}

// Compress returns the data compressed.
func Compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decompress returns the data that Compress got. It returns ErrTooLarge if that is longer than limit bytes.
func Decompress(data []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	out, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err == nil && len(out) > limit {
		err = fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	return out, err
}
