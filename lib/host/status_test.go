package host

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/confview/viewtest"
)

// Guards against a /ready whose status code does not match the status of the configuration, and against a /metrics
// without the metrics of the given sets.
func TestReadinessCodesAndMetrics(t *testing.T) {
	set := metrics.NewSet()
	set.GetOrCreateCounter(`cuminhook_refusals_total{reason="no_target"}`).Inc()
	view := viewtest.New(&confview.Snapshot{})
	s := NewStatusServer(view, set)
	get := func(path string) (int, string) {
		var h fasthttp.RequestCtx
		h.Request.SetRequestURI(path)
		s.handle(&h)
		return h.Response.StatusCode(), string(h.Response.Body())
	}
	expect := func(path string, status int, text string) {
		t.Helper()
		if got, body := get(path); got != status || !strings.Contains(body, text) {
			t.Errorf("%s: %d %q, want %d with %q", path, got, body, status, text)
		}
	}
	expect("/health", 200, "alive")
	expect("/ready", 200, "serving")
	expect("/metrics", 200, `cuminhook_refusals_total{reason="no_target"} 1`)
	expect("/other", 404, "")
	view.SetStatus(confview.Isolated, false)
	expect("/ready", 503, "isolated")
	view.SetStatus(confview.Outage, false)
	expect("/ready", 200, "old configuration")
	s.SetStopping()
	expect("/ready", 503, "stopping")
	expect("/health", 200, "alive")
}
