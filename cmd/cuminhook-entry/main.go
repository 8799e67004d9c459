// Command cuminhook-entry runs an entry host on the platform. Entry hosts forward callers' requests to targets; the one that
// holds the placement lease also places models and adapters.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/entryhost"
	"cuminhook.org/cuminhook/lib/logsink"
	"cuminhook.org/cuminhook/lib/settings"
	"cuminhook.org/cuminhook/platform"
)

// gcPercent is below the default of 100: entry hosts are short of CPU and memory, and peak memory costs more than CPU time.
const gcPercent = 60

func main() {
	if newCommand().Execute() != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	cfg := entryhost.DefaultSettings()
	return settings.Program{
		Use: "cuminhook-entry", Short: "Serve callers and place models on an entry host",
		Path: platform.SettingsPath("/etc/cuminhook/entry.yaml"), Settings: &cfg,
		Run: func(ctx context.Context, path string) error { return run(ctx, cfg, path) },
	}.Command()
}

func run(ctx context.Context, cfg entryhost.Settings, path string) error {
	debug.SetGCPercent(gcPercent)
	sink := logsink.New(os.Stdout)
	stopLog, logDone := make(chan struct{}), make(chan struct{})
	go func() {
		sink.Run(stopLog)
		close(logDone)
	}()
	defer func() {
		close(stopLog)
		<-logDone
	}()
	log := slog.New(slog.NewJSONHandler(sink, nil)).With("host", cfg.Host, "zone", cfg.Zone)
	requests := slog.New(slog.NewJSONHandler(sink.Lossy(), nil)).With("host", cfg.Host, "zone", cfg.Zone)
	set := metrics.NewSet()
	set.NewGauge("cuminhook_log_lines_dropped", sink.Dropped)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	go checkSettingsOnSIGHUP(ctx, cfg, path, log)
	return entryhost.New(entryhost.Config{
		Settings: cfg, Store: platform.NewStore(cfg.Store), Codec: platform.Codec{}, Protocol: platform.Protocol{},
		Engines: platform.NewTargetClient(), Log: log, RequestLog: requests, Metrics: set,
	}).Run(ctx)
}

// checkSettingsOnSIGHUP loads the settings file on each SIGHUP and logs whether it is valid and has changed. Changes take
// effect at the next start.
func checkSettingsOnSIGHUP(ctx context.Context, old entryhost.Settings, path string, log *slog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		cfg := entryhost.DefaultSettings()
		err := settings.Load(path, &cfg)
		switch {
		case err != nil:
			log.Error("settings not reloaded", "error", err.Error())
		case cfg != old:
			log.Warn("settings changed; they take effect at the next start")
		default:
			log.Info("settings reloaded, nothing changed")
		}
	}
}
