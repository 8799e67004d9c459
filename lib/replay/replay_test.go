package replay

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/settings"
)

func loadDeployment(t testing.TB, name string) *Deployment {
	t.Helper()
	var d Deployment
	if err := settings.Load("../../examples/"+name+"/deployment.yaml", &d); err != nil {
		t.Fatal(err)
	}
	return &d
}

// Guards against map order, the system clock or unseeded randomness reaching a decision.
func TestReplayIsReproducible(t *testing.T) {
	d := loadDeployment(t, "trinacria")
	trace := Generate(d, ZoneLoss, 0.9, 20*time.Second, 3)
	for _, p := range policies {
		first := Run(d, trace, p, 5).JSON()
		if again := Run(d, trace, p, 5).JSON(); again != first {
			t.Errorf("%s: equal inputs gave\n%s\n%s", p.Name, first, again)
		}
	}
}

// Guards against a policy that breaks an invariant under faults: tokens above the rate, overcommitted
// memory, or a non-idempotent request run twice.
func TestInvariantsUnderFaults(t *testing.T) {
	d := loadDeployment(t, "trinacria")
	trace := Generate(d, OverRate, 0.9, 20*time.Second, 4)
	for i := range trace {
		trace[i].NonIdempotent = i%3 == 0
	}
	faults := []Record{
		{AtMS: 0, Type: RecordFault, Fault: FaultOrderLost, Target: d.Targets[2].ID},
		{AtMS: 0, Type: RecordFault, Fault: FaultOrderLate, Target: d.Targets[3].ID, DurationMS: 9000},
		{AtMS: 0, Type: RecordFault, Fault: FaultHostIsolated, Host: d.Entries[1].ID, DurationMS: 8000},
		{AtMS: 0, Type: RecordFault, Fault: FaultTargetUnresponsive, Target: d.Targets[4].ID, DurationMS: 6000},
		{AtMS: 0, Type: RecordFault, Fault: FaultTargetDown, Target: d.Targets[0].ID, DurationMS: 5000},
	}
	p, _ := PolicyByName("cuminhook")
	r := Run(d, append(faults, trace...), p, 1)
	if r.OverRateTokens != 0 || r.MemoryOvercommitEvents != 0 || r.DuplicateRuns != 0 {
		t.Errorf("%s", r.JSON())
	}
}

// Guards against a report that counts no tokens above the rate: the replay runs with ten times the rate and burst, and
// the report checks it against the original rate.
func TestReportCountsTokensAboveRate(t *testing.T) {
	d := loadDeployment(t, "trinacria")
	trace := Generate(d, OverRate, 0.9, 20*time.Second, 4)
	rates := make([]int64, len(d.Organisations))
	for i := range d.Organisations {
		rates[i] = d.Organisations[i].Rate
		d.Organisations[i].Rate *= 10
		d.Organisations[i].Burst *= 10
	}
	p, _ := PolicyByName("cuminhook")
	s := run(d, trace, p, 1)
	for i := range d.Organisations {
		d.Organisations[i].Rate = rates[i]
		d.Organisations[i].Burst = rates[i]
	}
	if s.report().OverRateTokens == 0 {
		t.Error("requests far above the rate were not seen")
	}
}

// Guards against a bad line being skipped or reported without its line number.
func TestReadTraceRefusesBadLines(t *testing.T) {
	d := loadDeployment(t, "trinacria")
	good := `{"at_ms":5,"org":"etna","model":"trinacria-model-01","prompt":10,"output":5}` + "\n"
	for name, bad := range map[string]string{
		"not JSON":             `{"at_ms":6,`,
		"unknown field":        `{"at_ms":6,"org":"etna","modle":"x"}`,
		"unknown organisation": `{"at_ms":6,"org":"x","model":"trinacria-model-01","prompt":1,"output":1}`,
		"unknown model":        `{"at_ms":6,"org":"etna","model":"x","prompt":1,"output":1}`,
		"time going back":      `{"at_ms":4,"org":"etna","model":"trinacria-model-01","prompt":1,"output":1}`,
		"no tokens":            `{"at_ms":6,"org":"etna","model":"trinacria-model-01"}`,
		"unknown fault":        `{"at_ms":6,"type":"fault","fault":"x"}`,
		"two values":           `{"at_ms":6,"type":"fault","fault":"kv_down"} {}`,
	} {
		_, err := ReadTrace(strings.NewReader(good+bad+"\n"), d)
		if err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against a reader that rejects generated or compressed traces or loses their records.
func TestTraceRoundTrip(t *testing.T) {
	d := loadDeployment(t, "virtasen")
	for _, s := range Scenarios {
		trace := Generate(d, s, 0.9, 5*time.Second, 2)
		var buf bytes.Buffer
		zw := gzip.NewWriter(&buf)
		if err := WriteTrace(zw, trace); err != nil {
			t.Fatal(err)
		}
		zw.Close()
		got, err := ReadTrace(&buf, d)
		if err != nil || len(got) != len(trace) {
			t.Errorf("%s: %d of %d records, %v", s, len(got), len(trace), err)
		}
	}
}

// FuzzReadTrace guards against a trace line that makes the reader or a replay panic.
func FuzzReadTrace(f *testing.F) {
	d := loadDeployment(f, "trinacria")
	d.Targets, d.Models = d.Targets[:2], d.Models[:2]
	d.Adapters = nil
	f.Add([]byte(`{"at_ms":5,"org":"etna","model":"trinacria-model-01","prompt":10,"output":5}`))
	f.Add([]byte(`{"at_ms":5,"type":"fault","fault":"zone_down","zone":"palermo","duration_ms":10}`))
	f.Add([]byte("\x1f\x8bbroken"))
	p, _ := PolicyByName("cuminhook")
	f.Fuzz(func(_ *testing.T, data []byte) {
		records, err := ReadTrace(bytes.NewReader(data), d)
		if err == nil && len(records) > 0 && records[len(records)-1].AtMS < 1e4 {
			Run(d, records, p, 1)
		}
	})
}
