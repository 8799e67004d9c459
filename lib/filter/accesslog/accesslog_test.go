package accesslog

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/refusal"
)

// Guards against late, incomplete or refused answers that count as served in time.
func TestAttainedCountsAnswersInTime(t *testing.T) {
	set := metrics.NewSet()
	f := New(pipeline.HandlerFunc(func(context.Context, *pipeline.Exchange) error { return nil }), Config{Metrics: set})
	for _, out := range []pipeline.Outcome{
		{Status: 200, Complete: true, FirstToken: 100 * time.Millisecond},
		{Status: 200, Complete: true, FirstToken: 3 * time.Second},
		{Status: 200, FirstToken: 100 * time.Millisecond},
		{Status: 429, Reason: refusal.RateExceeded},
	} {
		now := time.Now()
		ex := &pipeline.Exchange{
			Kind: pipeline.KindModel, Organisation: "etna", BaseModel: "m", Stream: true, Start: now, Deadline: now.Add(time.Second),
		}
		if err := f.Serve(t.Context(), ex); err != nil {
			t.Fatal(err)
		}
		ex.Finish(out)
	}
	var text strings.Builder
	set.WritePrometheus(&text)
	for _, want := range []string{
		`cuminhook_organisation_requests_total{organisation="etna"} 4`, `cuminhook_organisation_attained_total{organisation="etna"} 1`,
		`cuminhook_model_attained_total{model="m"} 1`, `cuminhook_organisation_refused_total{organisation="etna",reason="rate_exceeded"} 1`,
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("metrics do not contain the line %s", want)
		}
	}
}
