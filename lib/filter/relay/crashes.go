package relay

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/registry"
)

const (
	// crashCheckTimeout bounds one check whether a target has crashed. A check without a result is repeated after
	// crashCheckDelay, up to maxCrashChecks: a packet may be lost, or all connections that the host may open may be in use.
	crashCheckTimeout = 500 * time.Millisecond
	crashCheckDelay   = 50 * time.Millisecond
	maxCrashChecks    = 4
	// rebirthWait is how long a target that listens again may take to be known as a new start: its next entry in the store, or an answer
	// that names another target. It is looked for each rebirthInterval.
	rebirthWait     = 2 * time.Second
	rebirthInterval = 50 * time.Millisecond
	// maxLostRuns bounds the runs that are kept of one check.
	maxLostRuns = 256
)

// crashWatch tells crashes of targets from lost connections and answers, and reports what was lost in them.
type crashWatch struct {
	client   *forward.Client
	detector *quarantine.Detector
	requests *quarantine.Requests
	targetAt func(addr string) *registry.Target
	path     Path
	log      *slog.Logger

	mu    sync.Mutex
	lost  map[incarnation][]lostRun // guarded by mu; by target that is being checked
	ended map[incarnation]end       // guarded by mu; targets that were found to have ended within the last rebirthWait
}

// end tells how a target was found to have ended.
type end struct {
	at       time.Time
	replaced bool // another start has answered at its address; otherwise nothing listened there
}

// incarnation is one start of a target.
type incarnation struct {
	id, addr string
	started  int64
}

func incarnationOf(t *registry.Target) incarnation { return incarnation{t.ID, t.Addr, t.Started} }

// lostRun is an attempt that its target broke off.
type lostRun struct {
	lost    quarantine.Lost
	waiting *quarantine.Waiting // nil: its answer had begun, or its prompt shares nothing
}

func newCrashWatch(cfg *Config) *crashWatch {
	return &crashWatch{
		client: cfg.Client, detector: cfg.Quarantine, requests: cfg.Requests, targetAt: cfg.TargetAt, path: cfg.Path, log: cfg.Log,
		lost: map[incarnation][]lostRun{}, ended: map[incarnation]end{},
	}
}

// check has a target checked that broke the connection of a request. One that is leaving may end with requests unanswered.
func (w *crashWatch) check(r lostRun, brokeAt time.Time) {
	target := incarnation{r.lost.Target, r.lost.Addr, r.lost.Started}
	if w.targetAt != nil {
		known := w.targetAt(target.addr)
		if known == nil || incarnationOf(known) == target && known.State == registry.Draining {
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	runs, running := w.lost[target]
	if len(runs) < maxLostRuns {
		w.lost[target] = append(runs, r)
	}
	if !running {
		go w.run(target, brokeAt)
	}
}

// run checks one target and reports the runs that were lost there if it has crashed.
func (w *crashWatch) run(target incarnation, brokeAt time.Time) {
	down := w.isDown(target.addr)
	w.mu.Lock()
	runs := w.lost[target]
	delete(w.lost, target)
	w.mu.Unlock()
	if down && !w.reachesOthers(target.addr) {
		w.log.Info("target not taken for crashed", "target", target.id, "addr", target.addr, "reason", "no target accepts connections")
		return
	}
	if down {
		w.recordEnd(target, false)
	} else if !w.startsAgain(target) {
		return
	}
	w.log.Warn("target crashed", "target", target.id, "addr", target.addr, "lost", len(runs), "restarted", !down)
	for _, r := range runs {
		w.requests.Crashed(r.lost, brokeAt, time.Now())
		if r.waiting != nil {
			w.detector.Crashed(*r.waiting, brokeAt, time.Now())
		}
	}
}

// reachesOthers reports whether another target accepts connections of this host.
func (w *crashWatch) reachesOthers(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return w.path.Reaches(ctx, addr)
}

func (w *crashWatch) isDown(addr string) bool {
	for range maxCrashChecks {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		down, err := w.client.IsDown(ctx, addr)
		cancel()
		if err == nil {
			return down
		}
		w.log.Info("target not checked", "addr", addr, "error", err.Error())
		time.Sleep(crashCheckDelay)
	}
	return false
}

// replaced records that another target has answered at the address of one.
func (w *crashWatch) replaced(t *registry.Target) { w.recordEnd(incarnationOf(t), true) }

func (w *crashWatch) recordEnd(target incarnation, replaced bool) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.ended, func(_ incarnation, e end) bool { return now.Sub(e.at) > rebirthWait })
	w.ended[target] = end{now, replaced}
}

// startsAgain waits until the target is known to have started anew since it broke connections: it may have crashed and listen again
// before it was checked. A target that is found down meanwhile has crashed later, so that it broke them for another reason.
func (w *crashWatch) startsAgain(target incarnation) bool {
	for deadline := time.Now().Add(rebirthWait); time.Now().Before(deadline); time.Sleep(rebirthInterval) {
		if w.targetAt != nil {
			if known := w.targetAt(target.addr); known != nil && incarnationOf(known) != target {
				return true
			}
		}
		w.mu.Lock()
		e, ended := w.ended[target]
		w.mu.Unlock()
		if ended {
			return e.replaced
		}
	}
	return false
}
