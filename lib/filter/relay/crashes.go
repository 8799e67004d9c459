package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"cuminhook.org/cuminhook/lib/forward"
	"cuminhook.org/cuminhook/lib/quarantine"
)

const (
	// crashCheckTimeout bounds one check whether a target has crashed. A check without a result is repeated after
	// crashCheckDelay, up to maxCrashChecks: a packet may be lost, or all connections that the host may open may be in use.
	crashCheckTimeout = 500 * time.Millisecond
	crashCheckDelay   = 50 * time.Millisecond
	maxCrashChecks    = 4
)

// crashWatch tells crashes of targets from lost connections and answers, and reports what waited at those that crashed.
type crashWatch struct {
	client   *forward.Client
	detector *quarantine.Detector
	log      *slog.Logger

	mu      sync.Mutex
	waiting map[string][]quarantine.Waiting // guarded by mu; by target that is being checked
}

func newCrashWatch(client *forward.Client, detector *quarantine.Detector, log *slog.Logger) *crashWatch {
	return &crashWatch{client: client, detector: detector, log: log, waiting: map[string][]quarantine.Waiting{}}
}

// check has a target checked that broke the connection of a request before it began to answer. Requests whose prompts share
// nothing with others give no evidence.
func (w *crashWatch) check(r quarantine.Waiting, brokeAt time.Time) {
	if len(r.Segments) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, running := w.waiting[r.Target]
	w.waiting[r.Target] = append(w.waiting[r.Target], r)
	if !running {
		go w.run(r.Target, r.Addr, brokeAt)
	}
}

// run checks one target and reports the requests that waited there if it has crashed.
func (w *crashWatch) run(target, addr string, brokeAt time.Time) {
	down := w.isDown(addr)
	w.mu.Lock()
	waiting := w.waiting[target]
	delete(w.waiting, target)
	w.mu.Unlock()
	if !down {
		return
	}
	w.log.Warn("target crashed", "target", target, "addr", addr, "waiting", len(waiting))
	for _, r := range waiting {
		w.detector.Crashed(r, brokeAt, time.Now())
	}
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
