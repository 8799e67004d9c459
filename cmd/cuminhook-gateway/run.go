package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/engine/httpengine"
	"cuminhook.org/cuminhook/lib/gateway"
	"cuminhook.org/cuminhook/lib/service/httpservice"
)

// node is the host's part in the mesh.
type node interface {
	confview.View
	Run(ctx context.Context) error
	// SetLeaving announces the planned stop to the other hosts.
	SetLeaving()
}

// run serves until the process is told to stop.
func run(ctx context.Context, cfg config) error {
	log := slog.New(slog.NewJSONHandler(os.Stdout, nil)).With("host", cfg.Host, "zone", cfg.Zone)
	set := metrics.NewSet()
	mesh := newNode(cfg)
	// Admission and Idempotency are filled in where their filters exist; nil passes over them.
	gw := gateway.New(gateway.Config{
		Limits: cfg.Limits, View: mesh, Engine: httpengine.New(httpengine.Config{}), Services: httpservice.New(nil),
		Log: log, Set: set,
	})
	callers, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w; choose an address of this host that is free", err)
	}
	admin, err := net.Listen("tcp", cfg.Metrics)
	if err != nil {
		return fmt.Errorf("metrics: %w; choose an address of this host that is free", err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// Mesh and watches go on until the last open stream has ended.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	status := gateway.NewStatus(mesh, set)
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return ignoreCancel(mesh.Run(groupCtx)) })
	group.Go(func() error { gw.Run(groupCtx); return nil })
	group.Go(func() error { return gw.Serve(callers) })
	group.Go(func() error { return status.Serve(admin) })
	log.Info("serving", "listen", callers.Addr().String(), "metrics", admin.Addr().String())
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	log.Info("stopping", "delay", cfg.StopDelay.String())
	status.SetStopping()
	mesh.SetLeaving()
	limit, cancelLimit := context.WithTimeout(background, cfg.StopLimit)
	defer cancelLimit()
	stopErr := gw.Stop(limit, cfg.StopDelay)
	cancel()
	_ = status.Close()
	return errors.Join(stopErr, ignoreCancel(group.Wait()))
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
