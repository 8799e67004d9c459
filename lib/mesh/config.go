// Package mesh connects the hosts of the system: membership, spread of the configuration, its recency, and calls
// between hosts.
//
// The decisions are in core, which performs no I/O and takes the time as an argument. Node adds the transport, the
// key-value service and the loops.
package mesh

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/hostlist"
	"cuminhook.org/cuminhook/lib/kv"
)

// Roles of members.
const (
	RoleGateway    = "gateway"
	RoleController = "controller"
	RoleAdmin      = "admin"
)

// Times of the protocol. Sections 6 and 7.4 of the design page give the first five.
const (
	callTimeout     = 700 * time.Millisecond
	exchangePeriod  = 500 * time.Millisecond
	pollWait        = 500 * time.Millisecond
	freshLimit      = 2 * time.Second
	evidenceLimit   = 1500 * time.Millisecond
	announceSettled = 2 * time.Second // a writer's CAS is sent at most 1 s after its announcement
	announceTimeout = time.Second

	// pollTimeout is the deadline of a poll, which waits up to pollWait at the service.
	pollTimeout = time.Second
	// pollOverdue is the time without an answer after which a poller counts the service as unreachable. It is
	// shorter than pollTimeout so that witnesses report an outage before hosts lose status fresh.
	pollOverdue = 600 * time.Millisecond
	// pollRetry is the pause after a failed poll.
	pollRetry = 250 * time.Millisecond
	// hurryAge is the age of the configuration above which a host asks more peers, each hurryPeriod. In normal
	// operation the age stays below: up to two waits of a watcher and one exchange period, less the overlap of
	// two watchers.
	hurryAge    = 1300 * time.Millisecond
	hurryPeriod = 250 * time.Millisecond
	// troubledAge replaces hurryAge after a failed exchange. Two watchers of a zone that die together leave their
	// zone this time less than freshLimit to find others.
	troubledAge = 700 * time.Millisecond

	// liveLimit is the age of last contact up to which a member counts as live in the choice of watchers.
	liveLimit = 5 * time.Second
	// forgetLimit is the age of last contact after which a member is dropped.
	forgetLimit = 60 * time.Second

	// regularPeriod is the time after which one of the regularCount partners of a host is replaced.
	regularPeriod = 15 * time.Second

	hostsPeriod  = time.Second
	statusPeriod = 50 * time.Millisecond // how often subscribers' status is compared
	idleLimit    = 60 * time.Second      // idle connections are closed after this time
)

// Sizes of the protocol.
const (
	watchersPerZone  = 2
	recordsPerCall   = 16
	notifyFanout     = 4
	regularCount     = 6
	maxAnnouncements = 256 // a witness with more unresolved ones refuses further announcements
	maxBatchBytes    = 256 << 10
	historySize      = 16 // earlier manifests kept as bases of deltas
)

// Errors of a node.
var (
	ErrNoMajority    = errors.New("mesh: no majority of the witnesses acknowledged; do not write the manifest, retry later")
	ErrUnknownMember = errors.New("mesh: member unknown; it has not been heard of yet")
	errTooMany       = errors.New("mesh: too many unresolved announcements; wait until the key-value service is reachable")
)

// Config is the static configuration of a node.
type Config struct {
	Host   string // id of the host in the platform's list
	Role   string // RoleGateway, RoleController or RoleAdmin
	Zone   string
	Listen string   // mesh address, IP:port
	Seeds  []string // mesh addresses of gateways
	Cell   string   // names the placement view to follow
}

// MemberID returns the member id of the program with the given role on host.
func MemberID(host, role string) string {
	if role == RoleGateway {
		return host
	}
	return host + "/" + role
}

// Deps are what a node uses. Store and Hosts are required.
type Deps struct {
	Store     kv.Store
	Hosts     hostlist.List
	Transport Transport      // default: TCP
	Rand      *rand.Rand     // default: seeded at random; used under the node's mutex
	Log       *slog.Logger   // default: slog.Default
	Metrics   *metrics.Set   // default: a set of the node's own
	Boot      func() string  // default: a random UUID
	Clock     func() instant // default: monotonic time since New
}

// instant is monotonic time of this process. Instants of different hosts are never compared.
type instant = time.Duration

// never is an instant before every other.
const never instant = -1 << 62
