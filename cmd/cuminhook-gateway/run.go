package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"cuminhook.org/cuminhook/lib/demand"
	"cuminhook.org/cuminhook/lib/engine/httpengine"
	"cuminhook.org/cuminhook/lib/filter/admission"
	"cuminhook.org/cuminhook/lib/filter/idempotency"
	"cuminhook.org/cuminhook/lib/gateway"
	"cuminhook.org/cuminhook/lib/host"
	"cuminhook.org/cuminhook/lib/idem"
	"cuminhook.org/cuminhook/lib/mesh"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/quota"
	"cuminhook.org/cuminhook/lib/service/httpservice"
)

// drainLimit bounds the hand-over of idempotency records; while the key-value service is down nobody takes the
// slots, and the successor keeps its copies.
const drainLimit = 10 * time.Second

// run serves until the process is told to stop.
func run(ctx context.Context, cfg config) error {
	h, err := host.New(&cfg.Node, mesh.RoleGateway)
	if err != nil {
		return err
	}
	log, node, set := h.Log, h.Mesh, metrics.NewSet()
	tokens, err := quota.New(quota.Config{View: node, Caller: node, Registrar: node})
	if err != nil {
		return err
	}
	claims, err := idem.New(idem.Config{View: node, Caller: node, Registrar: node, AssumeEmpty: cfg.FirstDeployment})
	if err != nil {
		return err
	}
	defer claims.Close()
	budget := admission.NewRetryBudget()
	var queue *admission.Filter
	reports := demand.NewSender(node, node, uuid.NewString(), func() map[string]int { return queue.Queues() })
	gw := gateway.New(gateway.Config{
		Limits: cfg.Limits, View: node, Engine: httpengine.New(httpengine.Config{}), Services: httpservice.New(nil),
		Picker: gateway.NewRouterPicker(node, cfg.Zone, reports.Suspect), Budget: budget, Log: log, Set: set,
		Admission: func(next pipeline.Handler) pipeline.Handler {
			queue = admission.New(next, admission.Config{View: node, Quota: tokens, Retries: budget, Demand: reports})
			return queue
		},
		Idempotency: func(next pipeline.Handler) pipeline.Handler {
			return idempotency.New(next, idempotency.Config{Claims: claims})
		},
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
	status := host.NewStatus(node, set)
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return ignoreCancel(node.Run(groupCtx)) })
	group.Go(func() error { gw.Run(groupCtx); return nil })
	group.Go(func() error { reports.Run(groupCtx); return nil })
	group.Go(func() error { return gw.Serve(callers) })
	group.Go(func() error { return status.Serve(admin) })
	log.Info("serving", "listen", callers.Addr().String(), "metrics", admin.Addr().String())
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	log.Info("stopping", "delay", cfg.StopDelay.String())
	status.SetStopping()
	node.Leave(background)
	limit, cancelLimit := context.WithTimeout(background, cfg.StopLimit)
	defer cancelLimit()
	stopErr := gw.Stop(limit, cfg.StopDelay)
	tokens.Close()
	drain, cancelDrain := context.WithTimeout(background, drainLimit)
	defer cancelDrain()
	if err := claims.Drain(drain); err != nil {
		log.Warn("idempotency records not handed over", "error", err.Error())
	}
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
