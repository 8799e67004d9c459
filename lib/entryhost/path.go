package entryhost

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/filter/passon"
	"cuminhook.org/cuminhook/lib/pathwatch"
	"cuminhook.org/cuminhook/lib/pipeline"
	"cuminhook.org/cuminhook/lib/registry"
)

const (
	// passKeyBytes is the size of the key that other hosts have to state.
	passKeyBytes = 16
	// passConnsShare is the number of requests that are passed on at the same time, and of those that are taken, as a part of the callers'
	// connections. Each takes a connection.
	passConnsShare = 0.25
	// keyPollInterval is the least time between two reads of the store because a host did not take its key.
	keyPollInterval = time.Second
)

// pathRole watches this host's path to the targets, and has requests passed on to and taken from other hosts while it, or theirs, is cut.
type pathRole struct {
	*pathwatch.Watch
	host     *Host
	key      string // that other hosts have to state to this one
	server   *pipeline.Server
	polledAt atomic.Int64 // when the store was last read because of a key, in nanoseconds
}

func newPathRole(h *Host) *pathRole {
	key := make([]byte, passKeyBytes)
	_, _ = rand.Read(key) // never fails
	r := &pathRole{host: h, key: hex.EncodeToString(key)}
	r.Watch = pathwatch.New(pathwatch.Config{
		Dial: r.dial, Addrs: r.addrs, OthersReach: func() bool { return h.peers.OthersReach() },
		OnReturn: func() { h.balancer.ForgetFailures() }, Log: h.log,
	})
	h.cfg.Metrics.NewGauge("cuminhook_no_path", func() float64 {
		if r.NoPath() {
			return 1
		}
		return 0
	})
	return r
}

// dial opens a connection to a target and closes it.
func (r *pathRole) dial(ctx context.Context, addr string) error {
	dial := r.host.cfg.Dial
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	}
	conn, err := dial(ctx, addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

// dialled records whether a target accepted a connection for a request.
func (r *pathRole) dialled(addr string, err error) { r.Dialled(addr, err == nil) }

// addrs returns the addresses of the targets that are not leaving.
func (r *pathRole) addrs() (out []string) {
	for addr, t := range *r.host.targets.Load() {
		if t.State == registry.Ready {
			out = append(out, addr)
		}
	}
	return out
}

// hosts returns the other hosts that take requests.
func (r *pathRole) hosts() (out []passon.Host) {
	for name, e := range r.host.peers.PassEntries() {
		out = append(out, passon.Host{Name: name, Addr: e.Pass, Key: e.Key})
	}
	return out
}

// pollKeys has the entries of the hosts read again, as a host that has started anew has another key.
func (r *pathRole) pollKeys() {
	now, last := time.Now().UnixNano(), r.polledAt.Load()
	if now-last > int64(keyPollInterval) && r.polledAt.CompareAndSwap(last, now) {
		r.host.storeWatcher.PollNow()
	}
}

// sender returns the filter that passes requests on, or next alone if this host has no address for them.
func (r *pathRole) sender(next pipeline.Handler) pipeline.Handler {
	if r.host.cfg.Settings.Pass == "" {
		return next
	}
	return passon.New(next, passon.Config{
		Divert:   func(route *catalog.Route) []passon.Host { return r.host.brittle.divert(route, r.hosts) },
		Protocol: r.host.cfg.Protocol, Pass: r.Pass, Cut: r.Cut, Hosts: r.hosts, MaxOpen: r.maxPassed(), OnKey: r.pollKeys, Retries: r.host.retries, Stop: r.host.stop,
		Log: r.host.cfg.RequestLog, Metrics: r.host.cfg.Metrics,
	})
}

// maxPassed returns the most requests that this host passes on, and the most that it takes, at the same time.
func (r *pathRole) maxPassed() int64 {
	return int64(math.Ceil(passConnsShare * float64(r.host.cfg.Settings.maxConns())))
}

// newServer returns the server for requests of other hosts.
func (r *pathRole) newServer(filters pipeline.Handler) *pipeline.Server {
	cfg := r.host.serverConfig(filters)
	cfg.First = passon.NewReceiver(filters, passon.ReceiverConfig{Key: r.key, MaxOpen: r.maxPassed(), NoPath: r.NoPath, Metrics: cfg.Metrics})
	cfg.MaxConns, cfg.MaxConnsPerIP, cfg.Metrics = int(r.maxPassed()), 0, metrics.NewSet()
	return pipeline.NewServer(cfg)
}
