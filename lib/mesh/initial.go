package mesh

import (
	"cuminhook.org/cuminhook/lib/confview"
	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// emptySnapshot is the snapshot before any configuration.
func emptySnapshot() *confview.Snapshot {
	return &confview.Snapshot{
		Manifest: manifest.Initial(), State: ticket.Empty(), Placement: &placement.View{}, Hosts: []hostlist.Host{},
	}
}

// initial stands for a manifest key that does not exist yet.
func initial() *manifest.Loaded {
	return &manifest.Loaded{Manifest: manifest.Initial(), State: ticket.Empty()}
}
