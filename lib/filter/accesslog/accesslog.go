// Package accesslog is the filter that updates the request metrics and writes one log line for each exchange. The line
// contains neither keys nor free text of callers: all names in it are those of configured objects.
package accesslog

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/pipeline"
)

// Config holds the settings of the filter.
type Config struct {
	Log     *slog.Logger // nil: no log lines
	Metrics *metrics.Set // nil: a new set
}

type filter struct {
	next         pipeline.Handler
	cfg          Config
	openRequests *metrics.Counter
}

// New returns the filter; it passes exchanges on to next.
func New(next pipeline.Handler, cfg Config) pipeline.Handler {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &filter{next, cfg, cfg.Metrics.GetOrCreateCounter("cuminhook_requests_open")}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(ctx context.Context, ex *pipeline.Exchange) error {
	f.openRequests.Inc()
	ex.OnFinish(func(out pipeline.Outcome) { f.record(ex, out) })
	return f.next.Serve(ctx, ex)
}

var kindNames = map[pipeline.Kind]string{
	pipeline.KindNone: "none", pipeline.KindModel: "model", pipeline.KindModels: "models", pipeline.KindService: "service",
	pipeline.KindPassthrough: "passage",
}

func (f *filter) record(ex *pipeline.Exchange, out pipeline.Outcome) {
	f.openRequests.Dec()
	duration := time.Since(ex.Start)
	kind := kindNames[ex.Kind]
	set := f.cfg.Metrics
	set.GetOrCreateCounter(fmt.Sprintf(`cuminhook_requests_total{kind=%q,status="%d"}`, kind, out.Status)).Inc()
	set.GetOrCreateHistogram(fmt.Sprintf(`cuminhook_request_seconds{kind=%q}`, kind)).Update(duration.Seconds())
	if out.Reason != "" {
		set.GetOrCreateCounter(fmt.Sprintf(`cuminhook_refusals_total{reason=%q}`, string(out.Reason))).Inc()
	}
	f.countByOrganisationAndModel(ex, out)
	if out.FirstToken > 0 {
		set.GetOrCreateHistogram("cuminhook_first_token_seconds").Update(out.FirstToken.Seconds())
	}
	if out.OutputTokens > 0 {
		set.GetOrCreateCounter("cuminhook_output_tokens_total").AddInt64(out.OutputTokens)
	}
	f.cfg.Log.LogAttrs(
		context.Background(), slog.LevelInfo, "request",
		slog.String("request_id", ex.ID), slog.String("kind", kind), slog.String("organisation", ex.Organisation),
		slog.String("model", ex.BaseModel), slog.String("adapter", ex.Adapter), slog.String("route", ex.Route),
		slog.Bool("stream", ex.Stream), slog.Int("status", out.Status), slog.String("reason", string(out.Reason)),
		slog.String("run", string(out.Run)), slog.Bool("complete", out.Complete),
		slog.Float64("seconds", duration.Seconds()), slog.Float64("first_token_seconds", out.FirstToken.Seconds()),
		slog.Int64("charge", ex.Charge), slog.Int64("prompt_tokens", out.PromptTokens),
		slog.Int64("output_tokens", out.OutputTokens),
	)
}

// countByOrganisationAndModel updates the counters of requests, of answers in time and of refusals, from which attainment
// and the worst-served organisation are computed. Organisations and models have separate counters, because one series
// for each pair would be tens of thousands of series. A streamed answer is in time if its first token met the deadline. A
// whole answer is in time if it is complete, because the request is cancelled at AnswerBy.
func (f *filter) countByOrganisationAndModel(ex *pipeline.Exchange, out pipeline.Outcome) {
	if ex.Organisation == "" || ex.Kind == pipeline.KindNone || ex.Kind == pipeline.KindModels {
		return
	}
	inTime := out.Complete && out.Status < 400
	if ex.Stream && !ex.Deadline.IsZero() {
		inTime = inTime && !ex.Start.Add(out.FirstToken).After(ex.Deadline)
	}
	f.countLabelled("organisation", ex.Organisation, inTime, out)
	if ex.BaseModel != "" {
		f.countLabelled("model", ex.BaseModel, inTime, out)
	}
}

func (f *filter) countLabelled(label, value string, inTime bool, out pipeline.Outcome) {
	set := f.cfg.Metrics
	set.GetOrCreateCounter(fmt.Sprintf(`cuminhook_%s_requests_total{%s=%q}`, label, label, value)).Inc()
	if inTime {
		set.GetOrCreateCounter(fmt.Sprintf(`cuminhook_%s_attained_total{%s=%q}`, label, label, value)).Inc()
	}
	if out.Reason != "" {
		set.GetOrCreateCounter(fmt.Sprintf(`cuminhook_%s_refused_total{%s=%q,reason=%q}`, label, label, value, string(out.Reason))).Inc()
	}
}
