package entryhost

import (
	"fmt"
	"time"

	"cuminhook.org/cuminhook/lib/settings"
)

// Settings are the settings of an entry host.
type Settings struct {
	Host    string `yaml:"host"`    // name of this host
	Zone    string `yaml:"zone"`    // availability zone
	Listen  string `yaml:"listen"`  // IP:port for callers
	Ready   string `yaml:"ready"`   // IP:port of the readiness check for load balancers
	Peers   string `yaml:"peers"`   // IP:port for states (UDP) and calls (TCP) of other hosts
	Metrics string `yaml:"metrics"` // IP:port of the metrics page
	// Pass is the IP:port at which this host takes requests of hosts that are cut off from the targets; empty: it takes none, and passes
	// none on.
	Pass  string `yaml:"pass"`
	Store string `yaml:"store"` // IP:port of the platform's store

	// DrainWithin and ConfigWithin are the times after the store's acknowledgement within which a draining target gets no
	// more requests and a configuration is in force, on every host.
	DrainWithin  time.Duration `yaml:"drain_within"`
	ConfigWithin time.Duration `yaml:"config_within"`

	// EvacuateWithin is the time after the store's acknowledgement of an operator's request to evacuate a zone within which no target
	// of the zone gets a request any more, on every host.
	EvacuateWithin time.Duration `yaml:"evacuate_within"`
	// Zones holds the region of each zone. A zone that is missing is a region of its own name.
	Zones map[string]string `yaml:"zones"`

	// TargetHeartbeat is the interval at which targets write their entries in the store, which expire after three of them.
	TargetHeartbeat time.Duration `yaml:"target_heartbeat"`

	LinkMbps float64 `yaml:"link_mbps"` // rate of this host's network link in Mbit/s

	// FarInterval is how many times as long as to hosts of their own zone hosts wait between two states to hosts of other zones, in
	// fleets whose hosts report through others; zero counts as one. Bytes between zones fall, and what hosts know of others is older.
	FarInterval int `yaml:"far_interval"`

	RetryRatio float64 `yaml:"retry_ratio"` // retries allowed per request of a service, over all hosts
	RetrySlack float64 `yaml:"retry_slack"` // retries allowed in addition, over all hosts

	// ColdOvershoot and ColdSlack bound the requests that reach a cold target in any second: its service's rate for cold targets times
	// ColdOvershoot, plus ColdSlack.
	ColdOvershoot float64 `yaml:"cold_overshoot"`
	ColdSlack     float64 `yaml:"cold_slack"`
	// EvenLoad has requests spread over targets by what other hosts have probably sent since their reports, instead of to the target
	// that looked least loaded.
	EvenLoad bool `yaml:"even_load"`
	// SetAside is the largest fraction of a service's targets that get hardly any requests because they fail a part of theirs; zero:
	// none.
	SetAside float64 `yaml:"set_aside"`
	// Admission has requests wait at the host for room at the targets, and refuses at once those that cannot be served.
	Admission bool `yaml:"admission"`

	Placement PlacementSettings `yaml:"placement"`

	// MemoryMB is the memory of this host's machine in MB (10^6 bytes), from which the budget for callers follows; zero: unknown.
	MemoryMB float64 `yaml:"memory_mb"`
	// MaxFDs is the most file descriptors that the process may have; zero: unknown.
	MaxFDs  float64        `yaml:"max_fds"`
	Callers CallerSettings `yaml:"callers"`

	Grace time.Duration `yaml:"grace"` // from the signal to stop until the platform kills the process
	// StopDelay is the time from the signal until the host takes no more requests; zero: defaultStopDelay, or less if the
	// grace is short.
	StopDelay time.Duration `yaml:"stop_delay"`
}

// PlacementSettings are the settings of placement.
type PlacementSettings struct {
	Lease          time.Duration `yaml:"lease"`           // time to live of the controller's lease
	LoadsOvershoot float64       `yaml:"loads_overshoot"` // factor on the weight store's permitted rate of loads, at least 1
	// Waves has the copies of a model that is short of them loaded at once, as far as the weight store tolerates it, in place of
	// one after the other.
	Waves bool `yaml:"waves"`
}

// CallerSettings are limits of callers' connections and requests.
type CallerSettings struct {
	MaxHeaderLines int           `yaml:"max_header_lines"` // lines of a header; zero: as many as it has room for
	BodyTimeout    time.Duration `yaml:"body_timeout"`     // time for a body, beside what it takes at min_body_rate
	MinBodyRate    int           `yaml:"min_body_rate"`    // bytes per second that a long body must keep up after body_timeout
	MaxConns       int           `yaml:"max_conns"`        // connections of all callers; zero: derived from max_fds
	MaxConnsPerIP  int           `yaml:"max_conns_per_ip"` // connections of one address; zero: unlimited, as behind a load balancer
}

// DefaultSettings returns the settings that apply where the file sets none.
func DefaultSettings() Settings {
	return Settings{
		DrainWithin: 2 * time.Second, ConfigWithin: 2 * time.Second, EvacuateWithin: 5 * time.Second, TargetHeartbeat: defaultTargetHeartbeat, LinkMbps: 100,
		RetryRatio: 0.1, RetrySlack: 10,
		Placement: PlacementSettings{Lease: 3 * time.Second, LoadsOvershoot: 1},
		Grace:     8 * time.Second, ColdOvershoot: 1,
		Callers: CallerSettings{BodyTimeout: defaultBodyTimeout, MinBodyRate: defaultBodyRate},
	}
}

const (
	// defaultTargetHeartbeat is the interval of the platform's example.
	defaultTargetHeartbeat = 1200 * time.Millisecond
	// defaultStopDelay is enough for a load balancer that checks once a second and stops sending after two failed checks.
	defaultStopDelay = 2500 * time.Millisecond
	// maxFarInterval keeps a host that reports to other zones reachable for them: they take it for lost after four intervals.
	maxFarInterval = 4
	// minServingGrace is the smallest fraction of the grace that the default leaves to requests after admission has ended.
	minServingGrace = 0.625
)

// stopDelay returns StopDelay or its default.
func (s *Settings) stopDelay() time.Duration {
	if s.StopDelay > 0 {
		return s.StopDelay
	}
	return min(defaultStopDelay, time.Duration((1-minServingGrace)*float64(s.Grace)))
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if s.Host == "" || s.Zone == "" {
		return fmt.Errorf("host and zone are required; set them to the name of this host and its availability zone")
	}
	for _, a := range []struct{ key, addr string }{
		{"listen", s.Listen}, {"ready", s.Ready}, {"peers", s.Peers}, {"metrics", s.Metrics}, {"store", s.Store},
	} {
		if err := settings.CheckAddr(a.key, a.addr); err != nil {
			return err
		}
	}
	if s.Pass != "" {
		if err := settings.CheckAddr("pass", s.Pass); err != nil {
			return err
		}
	}
	if s.DrainWithin <= 0 || s.ConfigWithin <= 0 {
		return fmt.Errorf("drain_within (%s) and config_within (%s) must be above 0", s.DrainWithin, s.ConfigWithin)
	}
	if s.EvacuateWithin <= 0 {
		return fmt.Errorf("evacuate_within (%s) must be above 0", s.EvacuateWithin)
	}
	if s.TargetHeartbeat <= 0 {
		return fmt.Errorf("target_heartbeat (%s) must be above 0; set it to the interval at which targets write their entries", s.TargetHeartbeat)
	}
	for zone, region := range s.Zones {
		if zone == "" || region == "" {
			return fmt.Errorf("zones: %q: %q must name a zone and its region; leave out zones that are regions of their own", zone, region)
		}
	}
	if !(s.LinkMbps > 0) {
		return fmt.Errorf("link_mbps (%v) must be above 0; set it to the rate of this host's link in Mbit/s", s.LinkMbps)
	}
	if s.FarInterval < 0 || s.FarInterval > maxFarInterval {
		return fmt.Errorf("far_interval (%d) must be from 0 to %d; 0 and 1 report to all zones alike", s.FarInterval, maxFarInterval)
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		return fmt.Errorf("retry_ratio and retry_slack cannot be negative; zero forbids repeats")
	}
	if !(s.ColdOvershoot > 0) || !(s.ColdSlack >= 0) {
		return fmt.Errorf("cold_overshoot (%v) must be above 0, cold_slack (%v) 0 or more; they bound the requests to targets that have just started",
			s.ColdOvershoot, s.ColdSlack)
	}
	if !(s.SetAside >= 0 && s.SetAside < 1) {
		return fmt.Errorf("set_aside (%v) must be 0 or more and below 1; set it to the fraction of a service that the others can stand in for", s.SetAside)
	}
	if s.Placement.Lease < time.Second || s.Placement.LoadsOvershoot < 1 {
		return fmt.Errorf("placement: lease must be 1s or longer, loads_overshoot 1 or more")
	}
	if err := s.validateMemory(); err != nil {
		return err
	}
	if s.Grace <= 0 || s.StopDelay < 0 || s.StopDelay >= s.Grace {
		return fmt.Errorf("grace (%s) must be above 0 and above stop_delay (%s); set it to the time after which the platform kills a process that it stops",
			s.Grace, s.StopDelay)
	}
	return nil
}
