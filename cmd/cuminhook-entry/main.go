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
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/spf13/cobra"

	"cuminhook.org/cuminhook/lib/entryhost"
	"cuminhook.org/cuminhook/lib/logsink"
	"cuminhook.org/cuminhook/lib/settings"
	"cuminhook.org/cuminhook/platform"
)

// settingsInterval is the time between two checks of the settings file, which may change without a signal.
const settingsInterval = time.Second

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
	host := entryhost.New(entryhost.Config{
		Settings: cfg, Store: platform.NewStore(cfg.Store), Codec: platform.Codec{}, Protocol: platform.Protocol{},
		Engines: platform.NewTargetClient(), Log: log, RequestLog: requests, Metrics: set,
	})
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go settings.Watch(ctx, path, hup, settingsInterval, func() { reload(host, path, log) })
	return host.Run(ctx)
}

// reload has the host take over the settings file. The host keeps its settings if the file is invalid.
func reload(host *entryhost.Host, path string, log *slog.Logger) {
	cfg := entryhost.DefaultSettings()
	if err := settings.Load(path, &cfg); err != nil {
		log.Error("settings not reloaded", "error", err.Error())
		return
	}
	applied, later := host.Reload(cfg)
	log.Info("settings reloaded", "applied", applied)
	if len(later) > 0 {
		log.Warn("settings changed that take effect at the next start", "keys", later)
	}
}
