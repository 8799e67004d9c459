package entryhost

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"cuminhook.org/cuminhook/lib/catalog"
	"cuminhook.org/cuminhook/lib/membudget"
	"cuminhook.org/cuminhook/lib/pipeline"
)

const (
	// defaultMemoryMB is assumed where memory_mb is not stated; bodies may then use about 64 MB.
	defaultMemoryMB = 512
	// budgetShare is the part of the machine's memory that callers may hold. Garbage that is not collected yet comes on top of it, and the
	// process itself takes 15 to 40 MB; all of it must stay below three quarters. With 0.3 a crowd that came back again and again took a
	// machine of 144 MB to 110 MB.
	budgetShare = 0.25
	// heapShare is the part of the machine's memory from which on the collector runs more often. Hosts without pressure use far less.
	heapShare = 0.45
	// minMemoryMB is the least memory with which a host can serve a request of the default size.
	minMemoryMB = 48

	// reservedFDs are the descriptors that the platform reserves for files.
	reservedFDs = 200
	// connsShare is the part of the other descriptors for callers' connections; targets, peers and the store take the rest.
	connsShare = 0.6
	// defaultMaxConns bounds the callers' connections where max_fds is not stated.
	defaultMaxConns = 2500
	minMaxFDs       = reservedFDs + 20

	// Limits of requests where the operator's configuration states none.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 5 << 20
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is above every idle timeout that operators set for callers, since callers reuse connections up to theirs.
	defaultIdleTimeout = 2 * time.Minute
	// requestLineBytes is permitted beside the header.
	requestLineBytes = 4 << 10
	// headerTimeoutMargin is added to the stated time for a header: a caller may use all of it, and the network delays its bytes.
	headerTimeoutMargin = 250 * time.Millisecond

	// defaultBodyTimeout is above the timeouts of routes, after which a body is of no use.
	defaultBodyTimeout = 30 * time.Second
	// defaultBodyRate is far below the rate of links between callers and hosts: a body of 4 MiB has more than four minutes.
	defaultBodyRate = 16 << 10
	writeTimeout    = 10 * time.Second

	// receiveBuffer and sendBuffer are the sizes of the kernel's buffers of a caller's connection: bytes in them count as the process's
	// memory. The kernel doubles them for its own use.
	receiveBuffer = 128 << 10
	sendBuffer    = 64 << 10

	// warnShare is the part of the budget from which on a warning is logged, once in warnInterval. usageInterval is the time between two looks.
	warnShare     = 0.8
	warnInterval  = 10 * time.Second
	usageInterval = 500 * time.Millisecond
)

// validateMemory checks the settings of memory, descriptors and callers.
func (s *Settings) validateMemory() error {
	if s.MemoryMB != 0 && !(s.MemoryMB >= minMemoryMB) {
		return fmt.Errorf("memory_mb (%v) must be %v or more, or 0 if unknown; set it to the memory of the machine", s.MemoryMB, minMemoryMB)
	}
	if s.MaxFDs != 0 && !(s.MaxFDs >= minMaxFDs) {
		return fmt.Errorf("max_fds (%v) must be %v or more, or 0 if unknown; set it to the descriptors that the process may have", s.MaxFDs, minMaxFDs)
	}
	c := s.Callers
	if c.MaxHeaderLines < 0 || c.BodyTimeout <= 0 || c.MinBodyRate <= 0 || c.MaxConns < 0 || c.MaxConnsPerIP < 0 {
		return fmt.Errorf("callers: body_timeout and min_body_rate must be above 0, max_header_lines, max_conns and max_conns_per_ip not negative")
	}
	return nil
}

// maxConns returns the most callers' connections.
func (s *Settings) maxConns() int {
	switch {
	case s.Callers.MaxConns > 0:
		return s.Callers.MaxConns
	case s.MaxFDs > 0:
		return int(connsShare * (s.MaxFDs - reservedFDs))
	default:
		return defaultMaxConns
	}
}

// callerBytes returns the budget for callers.
func (s *Settings) callerBytes() int64 {
	return int64(budgetShare * cmp.Or(s.MemoryMB, defaultMemoryMB) * 1e6)
}

// callerLimits returns the limits that the operator states, with defaults.
func callerLimits(l catalog.Limits) pipeline.Limits {
	out := pipeline.Limits{
		MaxHeaderBytes: cmp.Or(l.MaxHeaderBytes, defaultHeaderBytes), MaxBodyBytes: cmp.Or(l.MaxBodyBytes, defaultBodyBytes),
		HeaderTimeout: defaultHeaderTimeout, IdleTimeout: cmp.Or(l.IdleTimeout, defaultIdleTimeout),
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTimeout = l.HeaderTimeout + headerTimeoutMargin
	}
	return out
}

// setLimits applies the limits that the operator states.
func (h *Host) setLimits(l catalog.Limits) {
	limits := callerLimits(l)
	h.server.SetLimits(limits)
	h.path.server.SetLimits(limits)
	if largest := h.memory.budget.LargestBody(); int64(limits.MaxBodyBytes) > largest {
		h.log.Warn("bodies of the permitted size have no room in the memory", "max_body_bytes", limits.MaxBodyBytes, "room", largest,
			"remedy", "raise memory_mb of the host, or lower max_body_bytes")
	}
}

// serverConfig returns the settings of the server for callers.
func (h *Host) serverConfig(first pipeline.Handler) pipeline.ServerConfig {
	s, limits := h.cfg.Settings, callerLimits(catalog.Limits{})
	return pipeline.ServerConfig{
		First: first, MaxBodyBytes: limits.MaxBodyBytes, MaxHeaderBytes: limits.MaxHeaderBytes, RequestLineBytes: requestLineBytes,
		HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, ReadTimeout: s.Callers.BodyTimeout, WriteTimeout: writeTimeout,
		MaxHeaderLines: s.Callers.MaxHeaderLines, MinBodyRate: s.Callers.MinBodyRate, MaxConns: s.maxConns(),
		MaxConnsPerIP: s.Callers.MaxConnsPerIP, Memory: h.memory.budget, Owner: h.owner, FineRetryAfter: true,
		Log: h.cfg.Log, Metrics: h.cfg.Metrics,
	}
}

// owner returns whose request it is, as far as its key tells.
func (h *Host) owner(header *fasthttp.RequestHeader) string {
	c := h.catalog.Load()
	call, err := h.cfg.Protocol.ReadCall(header)
	if c == nil || err != nil {
		return ""
	}
	if o := c.Organisation(call.Key); o != nil {
		return "organisation " + o.Name
	}
	return ""
}

// memory is the budget of the process for its callers.
type memory struct {
	budget *membudget.Budget
	log    *slog.Logger
	set    *metrics.Set
	warned time.Time
}

// newMemory returns the budget that follows from the settings, and tells the collector the limit where the memory is stated.
func newMemory(s Settings, log *slog.Logger, set *metrics.Set) *memory {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * s.MemoryMB * 1e6))
	}
	return &memory{budget: membudget.New(membudget.Config{Limit: s.callerBytes(), Shed: true}), log: log, set: set}
}

// export adds the metrics of the budget and the connections.
func (m *memory) export(server *pipeline.Server) {
	for _, k := range membudget.Kinds() {
		m.set.NewGauge(`cuminhook_memory_held_bytes{kind="`+k.String()+`"}`, func() float64 { return float64(m.budget.Held(k)) })
	}
	m.set.NewGauge("cuminhook_memory_budget_bytes", func() float64 { return float64(m.budget.Usage().Limit) })
	m.set.NewGauge("cuminhook_caller_connections", func() float64 { return float64(server.Connections()) })
}

// watch logs a warning while most of the budget is used, and has the server let go of what it doesn't need.
func (m *memory) watch(ctx context.Context, server *pipeline.Server) {
	tick := time.NewTicker(usageInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			m.warn(now)
			server.Trim()
		}
	}
}

func (m *memory) warn(now time.Time) {
	u := m.budget.Usage()
	if float64(u.Total) < warnShare*float64(u.Limit) || now.Sub(m.warned) < warnInterval {
		return
	}
	m.warned = now
	m.log.Warn("memory for callers nearly used up", "held", u.Held, "budget", u.Limit, "refused", u.Refused, "shed", u.Shed)
}
