// Package confview defines the view that a host has of the configuration: the newest installed snapshot and how recent
// it is.
package confview

import (
	"slices"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/manifest"
	"cuminhook.org/cuminhook/lib/placement"
	"cuminhook.org/cuminhook/lib/ticket"
)

// Status states how recent the configuration is.
type Status uint8

// Statuses. Keyed requests are served in Fresh and Outage only.
const (
	Starting Status = iota // no configuration yet
	Fresh                  // confirmed within the last 2 s
	Outage                 // a majority of the witnesses cannot reach the key-value service either
	Isolated               // not confirmed within the last 2 s, and no such majority
)

// String returns the name used in logs and answers.
func (s Status) String() string {
	return [...]string{"starting", "fresh", "outage", "isolated"}[s]
}

// Serving reports whether keyed requests may be served and tokens be spent.
func (s Status) Serving() bool { return s == Fresh || s == Outage }

// Snapshot is an immutable snapshot of the configuration. Its pointers are never nil.
type Snapshot struct {
	Manifest  *manifest.Manifest
	State     *ticket.State
	Placement *placement.View
	Hosts     []hostlist.Host
	// Restrictions are those of announced writes that are not resolved. They apply in status Outage.
	Restrictions []manifest.Restriction
}

// Member is another program in the mesh, on this or another host.
type Member struct {
	ID       string
	Role     string // gateway, controller or admin
	Zone     string
	Addr     string // mesh address, IP:port
	Boot     string // id of the run of its program
	Leaving  bool
	Revision int64 // newest manifest revision that the member is known to have
	AgeMS    int64 // time since the last contact, direct or through others
	Status   Status
}

// View provides the newest snapshot, its status and the other members. Implementations are safe for concurrent use.
type View interface {
	// Snapshot returns the newest snapshot.
	Snapshot() *Snapshot
	// Status returns the status computed from the monotonic clock at the time of the call.
	Status() Status
	// Subscribe returns a channel that receives a value after each change of snapshot or status. cancel ends the
	// subscription.
	Subscribe() (changes <-chan struct{}, cancel func())
	// Members returns the other members.
	Members() []Member
	// Self returns the member id of this program.
	Self() string
}

// NewestKnownRevision returns the highest manifest revision that this host or another member is known to have.
func NewestKnownRevision(v View) int64 {
	highest := v.Snapshot().Manifest.Revision
	for _, m := range v.Members() {
		highest = max(highest, m.Revision)
	}
	return highest
}

// RemovedFromHostList reports whether the platform's host list no longer contains the gateway with the given id. It
// reports false while the list contains no entry host, as is the case before the first list is received.
func RemovedFromHostList(v View, id string) bool {
	hosts := v.Snapshot().Hosts
	entry := func(h hostlist.Host) bool { return h.Role == hostlist.RoleEntry }
	named := func(h hostlist.Host) bool { return entry(h) && h.ID == id }
	return slices.ContainsFunc(hosts, entry) && !slices.ContainsFunc(hosts, named)
}

// SnapshotWithStatus returns the snapshot and a status that is valid for it. It reads the status first: a newer
// snapshot may be installed between the two reads, and the fresh status of the newer snapshot must not be combined with
// the older one.
func SnapshotWithStatus(v View) (*Snapshot, Status) {
	status := v.Status()
	return v.Snapshot(), status
}
