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

// drainTimeout bounds the hand-over of idempotency records at a stop. While the key-value service is down, no other
// host is assigned the slots, and the next owners rely on the copies that they already have.
const drainTimeout = 10 * time.Second

// components are the connected components of a gateway process.
type components struct {
	host    *host.Host
	tokens  *quota.Manager
	claims  *idem.Manager
	reports *demand.Sender
	gateway *gateway.Gateway
	status  *host.StatusServer
}

func newComponents(cfg config) (*components, error) {
	h, err := host.New(&cfg.Node, mesh.RoleGateway)
	if err != nil {
		return nil, err
	}
	c, node, set := &components{host: h}, h.Mesh, metrics.NewSet()
	if c.tokens, err = quota.New(quota.Config{View: node, Caller: node, Registrar: node}); err != nil {
		return nil, err
	}
	c.claims, err = idem.New(idem.Config{View: node, Caller: node, Registrar: node, AssumeEmpty: cfg.FirstDeployment})
	if err != nil {
		return nil, err
	}
	budget := admission.NewRetryBudget()
	var queue *admission.Filter
	c.reports = demand.NewSender(node, node, uuid.NewString(), func() map[string]int { return queue.QueueLengths() })
	c.gateway = gateway.New(gateway.Config{
		Limits: cfg.Limits, View: node, Engine: httpengine.New(httpengine.Config{}), Services: httpservice.New(nil),
		Picker: gateway.NewRouterPicker(node, cfg.Zone, c.reports.Suspect), RetryBudget: budget, Log: h.Log, Metrics: set,
		Admission: func(next pipeline.Handler) pipeline.Handler {
			queue = admission.New(next, admission.Config{View: node, Quota: c.tokens, Retries: budget, Demand: c.reports})
			return queue
		},
		Idempotency: func(next pipeline.Handler) pipeline.Handler {
			return idempotency.New(next, idempotency.Config{Claims: c.claims})
		},
	})
	c.status = host.NewStatusServer(node, set)
	return c, nil
}

// run serves callers until ctx ends or the process receives SIGINT or SIGTERM, then stops gracefully.
func run(ctx context.Context, cfg config) error {
	c, err := newComponents(cfg)
	if err != nil {
		return err
	}
	defer c.claims.Close()
	callerListener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w; choose an address of this host that is free", err)
	}
	metricsListener, err := net.Listen("tcp", cfg.Metrics)
	if err != nil {
		return fmt.Errorf("metrics: %w; choose an address of this host that is free", err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// The mesh and the checks of open streams must run until the last stream has ended, so ctx does not cancel them.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return ignoreCancel(c.host.Mesh.Run(groupCtx)) })
	group.Go(func() error { c.gateway.Run(groupCtx); return nil })
	group.Go(func() error { c.reports.Run(groupCtx); return nil })
	group.Go(func() error { return c.gateway.Serve(callerListener) })
	group.Go(func() error { return c.status.Serve(metricsListener) })
	c.host.Log.Info("serving", "listen", callerListener.Addr().String(), "metrics", metricsListener.Addr().String())
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	stopErr := c.stop(background, cfg)
	cancel()
	_ = c.status.Close()
	return errors.Join(stopErr, ignoreCancel(group.Wait()))
}

// stop finishes open requests, stops spending tokens and hands over the idempotency records that this host owns.
func (c *components) stop(ctx context.Context, cfg config) error {
	c.host.Log.Info("stopping", "delay", cfg.StopDelay.String())
	c.status.SetStopping()
	c.host.Mesh.NotifyLeaving(ctx)
	stopCtx, cancel := context.WithTimeout(ctx, cfg.StopLimit)
	defer cancel()
	err := c.gateway.Stop(stopCtx, cfg.StopDelay)
	c.tokens.Close()
	drainCtx, cancelDrain := context.WithTimeout(ctx, drainTimeout)
	defer cancelDrain()
	if err := c.claims.Drain(drainCtx); err != nil {
		c.host.Log.Warn("idempotency records not handed over", "error", err.Error())
	}
	return err
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
