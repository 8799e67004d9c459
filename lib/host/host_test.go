package host

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/mesh"
	"cuminhook.org/cuminhook/lib/settings"
)

// Guards against a /metrics page without the metrics of the mesh node, such as the age of the configuration.
func TestNodeMetricsAreShown(t *testing.T) {
	s := &settings.Node{Host: "h", Zone: "z", Mesh: "127.0.0.1:1", Metrics: "127.0.0.1:2", KV: "http://127.0.0.1:3", Hosts: "http://127.0.0.1:3"}
	if _, err := New(s, mesh.RoleGateway); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	metrics.WritePrometheus(&out, false)
	for _, name := range []string{"cuminhook_config_revision ", "cuminhook_config_age_seconds ", "cuminhook_mesh_polls_total "} {
		if !strings.Contains(out.String(), name) {
			t.Errorf("metric %sis missing", name)
		}
	}
}
