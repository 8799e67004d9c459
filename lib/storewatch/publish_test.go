package storewatch

import (
	"log/slog"
	"testing"
	"time"

	"cuminhook.org/cuminhook/lib/registry"
)

func TestOlderListOfTargetsIsNotPublishedLast(t *testing.T) {
	entered, release := make(chan struct{}, 4), make(chan struct{})
	latest := make(chan registry.State, 4)
	w := New(newFakeFeed(), textCodec{}, heartbeat, Handlers{OnTargets: func(list []*registry.Target) {
		if entered <- struct{}{}; len(entered) == 1 {
			<-release
		}
		latest <- list[0].State
	}}, slog.New(slog.DiscardHandler))
	done := make(chan struct{}, 2)
	go func() {
		w.ApplyChanges(TargetChanges{Arrivals: []*registry.Target{{ID: "a", Started: 5}}}, false)
		done <- struct{}{}
	}()
	for len(entered) == 0 {
		time.Sleep(time.Millisecond)
	}
	go func() {
		w.ApplyChanges(TargetChanges{Departures: []registry.Departure{{ID: "a", Started: 5}}}, false)
		done <- struct{}{}
	}()
	time.Sleep(20 * time.Millisecond)
	close(release)
	<-done
	<-done
	if <-latest; <-latest != registry.Draining {
		t.Error("the list from before the target left was published after the one without it")
	}
}
