package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"cuminhook.org/cuminhook/lib/controller"
	"cuminhook.org/cuminhook/lib/demand"
	"cuminhook.org/cuminhook/lib/engine/httpengine"
	"cuminhook.org/cuminhook/lib/host"
	"cuminhook.org/cuminhook/lib/lease"
	"cuminhook.org/cuminhook/lib/mesh"
)

// leaseTTL is the time to live of the placement lease; it bounds the time without a controller after a crash.
const leaseTTL = 5 * time.Second

// leaseCampaign implements controller.Lease with a lease.Lease.
type leaseCampaign struct{ *lease.Lease }

// Campaign implements controller.Campaign.
func (c leaseCampaign) Campaign(ctx context.Context) (int64, <-chan struct{}, error) {
	ended, err := c.Lease.Campaign(ctx)
	if err != nil {
		return 0, nil, err
	}
	epoch, _ := c.Held()
	return epoch, ended, nil
}

// newDeps returns the controller's dependencies, which use the connections of h.
func newDeps(s *config, h *host.Host) controller.Deps {
	writer := h.NewWriter()
	d := controller.Deps{
		KV: h.Store, View: h.Mesh, Engines: httpengine.New(httpengine.Config{}), Log: h.Log,
		Lease: leaseCampaign{lease.New(h.Store, "cell/"+s.CellName(), h.Mesh.Self(), leaseTTL)},
	}
	if s.KeepManifest {
		d.Manifest, d.Compactor = writer, writer
	}
	return d
}

// stopTimeout bounds a planned stop, in which an order in progress may take until its deadline.
const stopTimeout = 40 * time.Second

// run campaigns for the placement lease and places models until ctx ends. It then finishes the orders in progress, or
// records that they are unresolved, and releases the lease before it stops the mesh node.
func run(ctx context.Context, s *config) error {
	h, err := host.New(&s.Node, mesh.RoleController)
	if err != nil {
		return err
	}
	c := controller.New(controller.Config{Cell: s.CellName(), Limits: s.Weights}, newDeps(s, h))
	if err := h.Mesh.Register(demand.Service, c.Service()); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.Metrics)
	if err != nil {
		return fmt.Errorf("metrics: cannot listen on %s: %w; choose a free address", s.Metrics, err)
	}
	status := host.NewStatusServer(h.Mesh, c.Metrics())
	go func() { _ = status.Serve(ln) }()
	defer func() { _ = status.Close() }()

	nodeCtx, stopNode := context.WithCancel(context.WithoutCancel(ctx))
	defer stopNode()
	nodeDone := make(chan error, 1)
	go func() { nodeDone <- h.Mesh.Run(nodeCtx) }()
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	select {
	case err := <-nodeDone:
		return fmt.Errorf("mesh node ended: %w", err)
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	status.SetStopping()
	h.Mesh.NotifyLeaving(nodeCtx)
	select {
	case err := <-done:
		return err
	case <-time.After(stopTimeout):
		h.Log.Warn("orders still in progress after the stop timeout; the next controller has to resolve them")
		return nil
	}
}
