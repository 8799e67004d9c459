package main

import (
	"context"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// unconnected is a node without mesh: it stays in status Starting, in which requests are refused.
type unconnected struct{ cfg config }

func newNode(cfg config) node { return &unconnected{cfg} }

// Run implements node.
func (*unconnected) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// SetLeaving implements node.
func (*unconnected) SetLeaving() {}

// Snapshot implements confview.View.
func (*unconnected) Snapshot() *confview.Snapshot {
	return &confview.Snapshot{Manifest: &manifest.Manifest{}, State: &ticket.State{}, Placement: &placement.View{}}
}

// Status implements confview.View.
func (*unconnected) Status() confview.Status { return confview.Starting }

// Subscribe implements confview.View.
func (*unconnected) Subscribe() (<-chan struct{}, func()) { return make(chan struct{}), func() {} }

// Members implements confview.View.
func (*unconnected) Members() []confview.Member { return nil }

// Self implements confview.View.
func (n *unconnected) Self() string { return n.cfg.Host }
