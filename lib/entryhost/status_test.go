package entryhost

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/balance"
	"cuminhook.org/cuminhook/lib/registry"
)

// Guards against metrics of evenness that are missing, or stay after their targets have gone.
func TestEvennessIsInTheMetrics(t *testing.T) {
	h := &Host{cfg: Config{Metrics: metrics.NewSet()}, balancer: balance.New("z", nil, nil, rand.New(rand.NewPCG(1, 1)))}
	h.balancer.SetTargets([]*registry.Target{{ID: "x", Service: "plain"}, {ID: "y", Service: "plain"}})
	h.balancer.SetPeerLoads("other", map[string]balance.Load{"x": {Running: 3}, "y": {Running: 1}})
	page := func() string {
		var out bytes.Buffer
		h.updateEvenness()
		h.cfg.Metrics.WritePrometheus(&out)
		return out.String()
	}
	const line = `cuminhook_copies_busiest_over_mean{service="plain",model=""} 1.5`
	if got := page(); !strings.Contains(got, line) || !strings.Contains(got, "cuminhook_prefix_spills_total 0") {
		t.Errorf("metrics without %s:\n%s", line, got)
	}
	h.balancer.SetTargets(nil)
	if got := page(); strings.Contains(got, "busiest") {
		t.Errorf("metrics of targets that have gone:\n%s", got)
	}
}
