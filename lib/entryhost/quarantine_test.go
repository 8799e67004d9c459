package entryhost

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cuminhook.org/cuminhook/lib/kv/memkv"
	"cuminhook.org/cuminhook/lib/peers"
	"cuminhook.org/cuminhook/lib/quarantine"
	"cuminhook.org/cuminhook/lib/storewatch"
)

// Guards against a segment that crashes targets again once all hosts have been killed, and against one that stays in quarantine
// for ever.
func TestQuarantineOutlivesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		start := func(host string) *quarantineRole {
			return newQuarantineRole(host, store, func() {}, slog.New(slog.DiscardHandler), metrics.NewSet())
		}
		first, second := start("a"), start("b")
		report := quarantine.Report{Quarantined: map[string]int64{"deadly": 0}}
		ctx, cancel := context.WithCancel(t.Context())
		for _, q := range []*quarantineRole{first, second} {
			q.merge(&peers.State{Host: "c", Quarantine: report}, time.Now())
			go q.persist(ctx, func() bool { return true })
		}
		time.Sleep(3 * persistInterval)
		cancel()
		synctest.Wait()

		stored := func() (segments []string) {
			entries, err := store.List(t.Context(), storewatch.QuarantinePrefix)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range entries {
				segments = append(segments, e.Key[len(storewatch.QuarantinePrefix):])
			}
			return segments
		}
		restarted := start("a")
		restarted.restore(stored())
		if id, _ := restarted.detector.Blocked([]string{"deadly"}, time.Now()); id != "deadly" {
			t.Errorf("in quarantine after the restart of all hosts: %q", id)
		}
		time.Sleep(quarantine.Period)
		if left := stored(); len(left) > 0 || len(restarted.detector.Quarantined(time.Now())) > 0 {
			t.Errorf("after the period the store has %v, the host %v", left, restarted.detector.Quarantined(time.Now()))
		}
	})
}

// Guards against a segment that goes on crashing targets while the hosts hear of it from state to state, or once all hosts are
// killed right after one has found it.
func TestQuarantineIsAnnouncedAndStoredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, announced := memkv.New(), 0
		q := newQuarantineRole("a", store, func() { announced++ }, slog.New(slog.DiscardHandler), metrics.NewSet())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go q.persist(ctx, func() bool { return false })
		for i := range 4 {
			time.Sleep(time.Millisecond)
			sent := time.Now()
			time.Sleep(100 * time.Millisecond)
			target := string(rune('a' + i))
			q.detector.Crashed(quarantine.Waiting{
				Segments: []string{"deadly"}, Target: target, Addr: target, SentAt: sent, Answering: true,
			}, time.Now(), time.Now())
		}
		q.report(time.Now(), 0)
		synctest.Wait()
		if entries, err := store.List(t.Context(), storewatch.QuarantinePrefix); err != nil || len(entries) != 1 || announced != 1 {
			t.Errorf("store has %v (%v), announced %d times", entries, err, announced)
		}
		for _, to := range []storewatch.Audience{storewatch.ToMesh, storewatch.ToLeaves} {
			if first, second := q.news(to, time.Now()), q.news(to, time.Now()); len(first.Quarantined) != 1 || len(second.Quarantined) != 0 {
				t.Errorf("announced to audience %d: %v, then %v", to, first, second)
			}
		}
	})
}

// Guards against a request that crashes targets again because all hosts were killed before or after it was judged, and against a sound
// one that is refused for crashes before it was run to the end.
func TestWhatIsKnownOfLostRequestsOutlivesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memkv.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := func() *requestRole {
			q := newRequestRole("a", store, func() {}, slog.New(slog.DiscardHandler), metrics.NewSet())
			entries, err := store.List(t.Context(), storewatch.RequestsPrefix)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range entries {
				q.restore([]string{e.Key[len(storewatch.RequestsPrefix):]})
			}
			go q.persist(ctx, func() bool { return true })
			q.detector.SetTargets(map[string][]string{"s": strings.Split("tuvwxyz", "")}, time.Now())
			time.Sleep(5 * time.Second) // in which no target crashes
			return q
		}
		key := func(name string) quarantine.RequestKey { return quarantine.KeyOfRequest("o", nil, []byte(name), nil) }
		crashes := 0
		crash := func(q *requestRole, names ...string) {
			sent := time.Now()
			time.Sleep(100 * time.Millisecond)
			crashes++
			for _, name := range names {
				q.detector.Crashed(quarantine.Lost{
					Key: key(name), Service: "s", Target: string(rune('a' + crashes)), Addr: string(rune('a' + crashes)), SentAt: sent,
				}, time.Now(), time.Now())
			}
			q.report(time.Now(), 0)
			synctest.Wait()
		}
		served := func(q *requestRole, name string) {
			q.detector.Survived(key(name), nil, "s", time.Millisecond, time.Now())
			q.report(time.Now(), 0)
		}
		blocked := func(q *requestRole, name string) bool { return q.detector.Blocked(key(name), time.Now()) > 0 }

		q := start()
		served(q, "other")
		crash(q, "deadly", "sound")
		crash(q, "deadly", "sound")
		served(q, "sound")
		time.Sleep(3 * persistInterval)
		q = start() // two crashes of one request are known
		served(q, "other")
		crash(q, "deadly", "sound")
		if !blocked(q, "deadly") || blocked(q, "sound") {
			t.Errorf("after the third crash: deadly refused %v, sound refused %v", blocked(q, "deadly"), blocked(q, "sound"))
		}
		if q = start(); !blocked(q, "deadly") || blocked(q, "sound") {
			t.Errorf("after a kill: deadly refused %v, sound refused %v", blocked(q, "deadly"), blocked(q, "sound"))
		}
		time.Sleep(quarantine.Period)
		if q.report(time.Now(), 0); blocked(q, "deadly") {
			t.Error("refused for ever")
		}
		served(q, "other")
		if crash(q, "deadly"); !blocked(q, "deadly") {
			t.Error("not refused after its first crash after the period")
		}
	})
}
