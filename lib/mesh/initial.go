package mesh

import (
	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// emptySnapshot returns the snapshot of a node without configuration.
func emptySnapshot() *confview.Snapshot {
	return &confview.Snapshot{
		Manifest: manifest.Initial(), State: ticket.EmptyState(), Placement: &placement.View{}, Hosts: []hostlist.Host{},
	}
}

// initialConfig returns the configuration that applies while the manifest key does not exist.
func initialConfig() *manifest.Loaded {
	return &manifest.Loaded{Manifest: manifest.Initial(), State: ticket.EmptyState()}
}
