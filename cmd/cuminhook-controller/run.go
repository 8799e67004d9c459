package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/controller"
	"cuminhook.org/cuminhook/lib/demand"
	"cuminhook.org/cuminhook/lib/peer"
)

// node is this host's part in the mesh together with the platform's adapters.
type node struct {
	deps      controller.Deps
	registrar peer.Registrar
	run       func(ctx context.Context) error // works until ctx ends
}

// errNotWired is returned until the mesh node is wired in.
var errNotWired = errors.New("controller: the mesh node is not part of this build")

// wire builds the node from the settings.
func wire(*config, *slog.Logger) (*node, error) { return nil, errNotWired }

// stopDeadline bounds a planned stop. An order in progress may take its whole deadline.
const stopDeadline = 40 * time.Second

// run works until ctx ends. A planned stop finishes or records the orders in progress and releases the
// lease while the node still runs.
func run(ctx context.Context, s *config, log *slog.Logger) error {
	n, err := wire(s, log)
	if err != nil {
		return err
	}
	n.deps.Log = log
	c := controller.New(controller.Config{Cell: s.Cell, Limits: s.Weights}, n.deps)
	if err := n.registrar.Register(demand.Service, c.Service()); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.Metrics)
	if err != nil {
		return fmt.Errorf("metrics: cannot listen on %s: %w; choose a free address", s.Metrics, err)
	}
	srv := &fasthttp.Server{Handler: pages(c, n.deps.View), ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Shutdown() }()

	nodeCtx, stopNode := context.WithCancel(context.WithoutCancel(ctx))
	defer stopNode()
	nodeDone := make(chan error, 1)
	go func() { nodeDone <- n.run(nodeCtx) }()
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	select {
	case err := <-nodeDone:
		return fmt.Errorf("mesh node ended: %w", err)
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-done:
		return err
	case <-time.After(stopDeadline):
		log.Warn("orders still in progress at the end of the stop deadline; they are in doubt for the successor")
		return nil
	}
}

// pages serves /metrics, /health and /ready.
func pages(c *controller.Controller, view confview.View) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			c.WriteMetrics(ctx)
		case "/health":
			ctx.SetBodyString("ok\n")
		case "/ready":
			if view.Status() == confview.Starting {
				ctx.Error("starting: no configuration yet\n", fasthttp.StatusServiceUnavailable)
				return
			}
			ctx.SetBodyString(view.Status().String() + "\n")
		default:
			ctx.Error("not found\n", fasthttp.StatusNotFound)
		}
	}
}
