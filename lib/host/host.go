// Package host holds what the gateway, controller and admin programs share at start: the connections to the platform's
// services and to the other hosts, and the server for /metrics, /health and /ready.
package host

import (
	"log/slog"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/hostlist/httplist"
	"cuminhook.org/cuminhook/lib/kv"
	"cuminhook.org/cuminhook/lib/kv/httpkv"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/mesh"
	"cuminhook.org/cuminhook/lib/settings"
)

// Host holds the connections of a program to the platform's services and to the other hosts.
type Host struct {
	Store    kv.Store
	HostList hostlist.List
	Mesh     *mesh.Node
	Log      *slog.Logger
}

// New returns the connections of the program with the given mesh role, and registers the metrics of its mesh node.
// Nothing is dialled before Mesh.Run, so that programs can start while the platform's services are down.
func New(s *settings.Node, role string) (*Host, error) {
	log := slog.New(slog.NewJSONHandler(os.Stdout, nil)).With("host", s.Host, "zone", s.Zone, "program", "cuminhook-"+role)
	store, err := httpkv.New(s.KV)
	if err != nil {
		return nil, eris.Wrap(err, "settings key kv")
	}
	list, err := httplist.New(s.Hosts)
	if err != nil {
		return nil, eris.Wrap(err, "settings key hosts")
	}
	set := metrics.NewSet()
	node, err := mesh.New(
		mesh.Config{Host: s.Host, Role: role, Zone: s.Zone, Listen: s.Mesh, Seeds: s.Seeds, Cell: s.CellName()},
		mesh.Deps{Store: store, HostList: list, Log: log, Metrics: set},
	)
	if err != nil {
		return nil, err
	}
	metrics.RegisterSet(set) // StatusServer serves the registered sets under /metrics
	return &Host{Store: store, HostList: list, Mesh: node, Log: log}, nil
}

// NewWriter returns a manifest writer that uses the key-value service and the mesh of h.
func (h *Host) NewWriter() *manifest.Writer {
	return manifest.NewWriter(h.Store, h.Mesh, manifest.Config{
		KnownRevision: func() int64 { return confview.NewestKnownRevision(h.Mesh) },
		WitnessGone:   func(witness string) bool { return confview.RemovedFromHostList(h.Mesh, witness) },
	})
}
