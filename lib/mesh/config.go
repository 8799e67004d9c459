// Package mesh connects the programs of all hosts. It keeps the membership table, distributes the configuration,
// determines how recent the configuration is, and carries RPC calls between members.
//
// The types recency and members hold the decisions. They perform no I/O and take the time as an argument. Node adds
// the transport, the key-value service and the background loops.
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

// Timing of the protocol. Sections 6 and 7.4 of the design page define the first five values.
const (
	callTimeout          = 700 * time.Millisecond
	exchangePeriod       = 500 * time.Millisecond
	pollWait             = 500 * time.Millisecond
	maxFreshAge          = 2 * time.Second
	maxEvidenceAge       = 1500 * time.Millisecond
	announceResolveDelay = 2 * time.Second // a writer's CAS is sent at most 1 s after its announcement
	announceTimeout      = time.Second

	// pollTimeout is the deadline of a poll, which the key-value service may hold open for up to pollWait.
	pollTimeout = time.Second
	// unreachableTimeout is the time without an answer after which a polling host regards the key-value service as
	// unreachable. It is shorter than pollTimeout so that witnesses report an outage before hosts lose status fresh.
	unreachableTimeout = 600 * time.Millisecond
	// pollRetryDelay is the delay after a failed poll or accept, and between checks whether this host should poll.
	pollRetryDelay = 250 * time.Millisecond
	// extraExchangeAge is the age of the configuration above which a host exchanges with additional peers every
	// extraExchangePeriod. In normal operation the age stays below it: the age is at most two long polls of a watcher
	// plus one exchange period, less the overlap of the two watchers.
	extraExchangeAge    = 1300 * time.Millisecond
	extraExchangePeriod = 250 * time.Millisecond
	// failedExchangeAge replaces extraExchangeAge after a failed exchange. If both watchers of a zone die together,
	// the other hosts of the zone have maxFreshAge less failedExchangeAge to find other peers before they lose status
	// fresh.
	failedExchangeAge = 700 * time.Millisecond

	// liveTimeout is the time since the last contact after which a member no longer counts as live, in the choice of
	// watchers and of exchange partners.
	liveTimeout = 5 * time.Second
	// forgetTimeout is the time since the last contact after which a member is removed from the table.
	forgetTimeout = 60 * time.Second

	// partnerReplacePeriod is the interval at which a host replaces one of its stablePartnerCount exchange partners.
	partnerReplacePeriod = 15 * time.Second

	hostListPeriod    = time.Second
	statusCheckPeriod = 50 * time.Millisecond // interval of checks for a status change
	idleConnTimeout   = 60 * time.Second      // connections unused for longer are closed
)

// Counts and sizes of the protocol.
const (
	watchersPerZone       = 2
	maxRecordsPerExchange = 16
	notifyFanout          = 4
	stablePartnerCount    = 6
	maxAnnouncements      = 256 // a witness with this many unresolved ones refuses further announcements
	maxBatchBytes         = 256 << 10
	manifestHistorySize   = 16 // revisions of the manifest kept as bases of deltas
)

// Errors of a node. Announce returns ErrNoMajority, Call returns ErrUnknownMember, and a witness refuses an announcement
// with errTooManyUnresolved.
var (
	ErrNoMajority        = errors.New("mesh: no majority of the witnesses acknowledged; do not write the manifest, retry later")
	ErrUnknownMember     = errors.New("mesh: member unknown; no record of it has been received yet")
	errTooManyUnresolved = errors.New("mesh: too many unresolved announcements; wait until the key-value service is reachable")
)

// Config is the static configuration of a node.
type Config struct {
	Host   string // id of the host in the platform's list
	Role   string // RoleGateway, RoleController or RoleAdmin
	Zone   string
	Listen string   // mesh address, IP:port
	Seeds  []string // mesh addresses of gateways
	Cell   string   // cell whose placement view is watched; empty for none
}

// MemberID returns the member id of the program with the given role on host.
func MemberID(host, role string) string {
	if role == RoleGateway {
		return host
	}
	return host + "/" + role
}

// Deps holds the dependencies of a node. Store and HostList are required.
type Deps struct {
	Store     kv.Store
	HostList  hostlist.List
	Transport Transport      // default: TCP
	Rand      *rand.Rand     // default: randomly seeded; used only while the node's mutex is held
	Log       *slog.Logger   // default: slog.Default
	Metrics   *metrics.Set   // default: a new set
	NewBootID func() string  // returns a new boot id; default: a random UUID
	Clock     func() instant // default: monotonic time since New
}

// instant is monotonic time of this process. Instants of different hosts are never compared.
type instant = time.Duration

// never is an instant before all others.
const never instant = -1 << 62
