package residency

import (
	"fmt"
	"testing"
	"time"
)

// Guards against copies for demand that are loaded one at a time for the rest of a term because a few loads were once slow.
func TestStoreThatWasOnceSlowIsUsedAtFullSpeedAgain(t *testing.T) {
	const fullSpeed = 8
	pace, m, now := newStorePace(start), &Model{Name: "m", StoreLoadTime: time.Second}, start
	loadAtOnce := func(took time.Duration) (n int) {
		var targets []*Target
		for ; n < fullSpeed && pace.mayStart(false); n++ {
			id := fmt.Sprint(n)
			pace.start(id, m, false, now)
			targets = append(targets, &Target{ID: id, Models: []LoadedModel{{Model: m.Name}}})
		}
		pace.update(targets, now)
		now = now.Add(took)
		for _, t := range targets {
			t.Models[0].Ready = true
		}
		pace.update(targets, now)
		return n
	}
	loadAtOnce(fullSpeed * m.StoreLoadTime)
	if n := loadAtOnce(m.StoreLoadTime); n != 1 {
		t.Errorf("%d loads at once after slow ones", n)
	}
	for range 20 {
		loadAtOnce(m.StoreLoadTime)
	}
	if n := loadAtOnce(m.StoreLoadTime); n < fullSpeed*3/4 {
		t.Errorf("%d loads at once after fast ones, the store runs %d at full speed", n, fullSpeed)
	}
}
