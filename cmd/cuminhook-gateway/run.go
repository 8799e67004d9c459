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

// parts are the parts of a gateway.
type parts struct {
	host    *host.Host
	tokens  *quota.Manager
	claims  *idem.Manager
	reports *demand.Sender
	gateway *gateway.Gateway
	status  *host.StatusServer
}

func newParts(cfg config) (*parts, error) {
	h, err := host.New(&cfg.Node, mesh.RoleGateway)
	if err != nil {
		return nil, err
	}
	p, node, set := &parts{host: h}, h.Mesh, metrics.NewSet()
	if p.tokens, err = quota.New(quota.Config{View: node, Caller: node, Registrar: node}); err != nil {
		return nil, err
	}
	p.claims, err = idem.New(idem.Config{View: node, Caller: node, Registrar: node, AssumeEmpty: cfg.FirstDeployment})
	if err != nil {
		return nil, err
	}
	budget := admission.NewRetryBudget()
	var queue *admission.Filter
	p.reports = demand.NewSender(node, node, uuid.NewString(), func() map[string]int { return queue.QueueLengths() })
	p.gateway = gateway.New(gateway.Config{
		Limits: cfg.Limits, View: node, Engine: httpengine.New(httpengine.Config{}), Services: httpservice.New(nil),
		Picker: gateway.NewRouterPicker(node, cfg.Zone, p.reports.Suspect), Budget: budget, Log: h.Log, Set: set,
		Admission: func(next pipeline.Handler) pipeline.Handler {
			queue = admission.New(next, admission.Config{View: node, Quota: p.tokens, Retries: budget, Demand: p.reports})
			return queue
		},
		Idempotency: func(next pipeline.Handler) pipeline.Handler {
			return idempotency.New(next, idempotency.Config{Claims: p.claims})
		},
	})
	p.status = host.NewStatusServer(node, set)
	return p, nil
}

// run serves until the process is told to stop.
func run(ctx context.Context, cfg config) error {
	p, err := newParts(cfg)
	if err != nil {
		return err
	}
	defer p.claims.Close()
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
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return ignoreCancel(p.host.Mesh.Run(groupCtx)) })
	group.Go(func() error { p.gateway.Run(groupCtx); return nil })
	group.Go(func() error { p.reports.Run(groupCtx); return nil })
	group.Go(func() error { return p.gateway.Serve(callers) })
	group.Go(func() error { return p.status.Serve(admin) })
	p.host.Log.Info("serving", "listen", callers.Addr().String(), "metrics", admin.Addr().String())
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	stopErr := p.stop(background, cfg)
	cancel()
	_ = p.status.Close()
	return errors.Join(stopErr, ignoreCancel(group.Wait()))
}

// stop finishes open requests and hands over what this host keeps for others.
func (p *parts) stop(ctx context.Context, cfg config) error {
	p.host.Log.Info("stopping", "delay", cfg.StopDelay.String())
	p.status.SetStopping()
	p.host.Mesh.NotifyLeaving(ctx)
	limit, cancel := context.WithTimeout(ctx, cfg.StopLimit)
	defer cancel()
	err := p.gateway.Stop(limit, cfg.StopDelay)
	p.tokens.Close()
	drain, cancelDrain := context.WithTimeout(ctx, drainLimit)
	defer cancelDrain()
	if err := p.claims.Drain(drain); err != nil {
		p.host.Log.Warn("idempotency records not handed over", "error", err.Error())
	}
	return err
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
