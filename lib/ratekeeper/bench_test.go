package ratekeeper

import (
	"io"
	"log/slog"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/catalog"
)

// BenchmarkGrant handles an ask at the keeper, without the system calls.
func BenchmarkGrant(b *testing.B) {
	o := &catalog.Organisation{Name: "o", Rate: 1e9, Burst: 1e9}
	k := New(Config{
		Host: "h", Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewSet(), Send: func(string, []byte) error { return nil },
		Candidates:   func(string) []Candidate { return []Candidate{{Host: "h", Reachable: true}} },
		Organisation: func(string) *catalog.Organisation { return o },
	})
	m := message{Kind: ask, From: "a", Origin: "a", Organisation: "o", Tokens: 100}
	for b.Loop() {
		m.ID++
		k.Handle(m.encode())
	}
}
