// Package confview is the view that a host has of the configuration in force, with its recency.
package confview

import (
	"slices"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// Status tells how recent the configuration is.
type Status uint8

// Statuses. Keyed requests are served in Fresh and Outage only.
const (
	Starting Status = iota // no configuration yet
	Fresh                  // confirmed within the last 2 s
	Outage                 // a majority of the witnesses cannot reach the key-value service either
	Isolated               // neither
)

// String returns the name used in logs and answers.
func (s Status) String() string {
	return [...]string{"starting", "fresh", "outage", "isolated"}[s]
}

// Serving reports whether keyed requests may be served and tokens be spent.
func (s Status) Serving() bool { return s == Fresh || s == Outage }

// Snapshot is an immutable view. Pointers are never nil.
type Snapshot struct {
	Manifest  *manifest.Manifest
	State     *ticket.State
	Placement *placement.View
	Hosts     []hostlist.Host
	// Restrictions are unresolved announced writes; they apply in status Outage.
	Restrictions []manifest.Restriction
}

// Member is another host of the system.
type Member struct {
	ID       string
	Role     string // gateway, controller or admin
	Zone     string
	Addr     string // mesh address, IP:port
	Boot     string
	Leaving  bool
	Revision int64 // newest manifest revision it is known to have
	AgeMS    int64 // time since it was last heard of, directly or through others
	Status   Status
}

// View gives the newest snapshot and its status. Implementations are safe for concurrent use.
type View interface {
	Snapshot() *Snapshot
	// Status is computed from the monotonic clock at the call.
	Status() Status
	// Subscribe returns a channel that receives after each change of snapshot or status.
	Subscribe() (changes <-chan struct{}, cancel func())
	Members() []Member
	// Self is this host's id.
	Self() string
}

// Known returns the highest manifest revision that this host or another member is known to have.
func Known(v View) int64 {
	highest := v.Snapshot().Manifest.Revision
	for _, m := range v.Members() {
		highest = max(highest, m.Revision)
	}
	return highest
}

// Gone reports whether the platform's host list does not name the gateway any more. Without a list nobody is gone.
func Gone(v View, id string) bool {
	hosts := v.Snapshot().Hosts
	entry := func(h hostlist.Host) bool { return h.Role == hostlist.RoleEntry }
	named := func(h hostlist.Host) bool { return entry(h) && h.ID == id }
	return slices.ContainsFunc(hosts, entry) && !slices.ContainsFunc(hosts, named)
}

// Read returns the snapshot with a status that holds for it. The status is read first: between the two a newer
// snapshot may be installed, and a status that it made fresh must not be taken for the older one.
func Read(v View) (*Snapshot, Status) {
	status := v.Status()
	return v.Snapshot(), status
}
