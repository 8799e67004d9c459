package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// Watch calls changed when the content of the file differs from that at the previous check, and on each signal. It checks the file
// on each signal and every interval, and returns when ctx ends. A file that can't be read counts as unchanged until it can.
func Watch(ctx context.Context, path string, signals <-chan os.Signal, interval time.Duration, changed func()) {
	known, _ := os.ReadFile(path)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if differs := err == nil && !bytes.Equal(data, known); differs || signalled {
			if err == nil {
				known = data
			}
			changed()
		}
	}
}
