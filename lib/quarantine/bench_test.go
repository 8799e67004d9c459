package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkServedRequest is what a served request costs: its key, the check whether it is refused, and its survival.
func BenchmarkServedRequest(b *testing.B) {
	for _, c := range []struct{ body, convicted int }{{0, 0}, {1 << 10, 0}, {1 << 10, 100}, {1 << 20, 0}} {
		b.Run(fmt.Sprintf("body=%d/refused=%d", c.body, c.convicted), func(b *testing.B) {
			d, now, body := NewRequests(), time.Now(), make([]byte, c.body)
			for i := range c.convicted {
				d.Restore([]RequestKey{keyOf(fmt.Sprint(i))}, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				k := KeyOfRequest("organisation", []byte("POST"), []byte("/path/of/a/request"), body)
				if d.Convicted() && d.Blocked(k, now) > 0 {
					b.Fatal("refused")
				}
				d.Survived(k, nil, "s", time.Millisecond, now)
			}
		})
	}
}
