package replay

import (
	"time"
)

// fakeStore models the shared limits of the weight store: model loads start at a bounded rate, and loads beyond
// a number in flight share the bandwidth of that number. Adapter loads slow down likewise.
type fakeStore struct {
	d        *Deployment
	clk      *clock
	nextLoad time.Duration
	models   int // loads in flight
	adapters int
}

// loadModel calls done when the weights have arrived. The slow-down is that at the start of the load.
func (s *fakeStore) loadModel(bytes int64, done func()) {
	start := max(s.clk.now, s.nextLoad)
	s.nextLoad = start + time.Duration(float64(time.Second)/s.d.WeightStore.LoadsPerSecond)
	s.clk.at(start, func() {
		s.models++
		took := float64(bytes) / float64(s.d.LoadBytesRate)
		took *= max(1, float64(s.models)/float64(s.d.WeightStore.FullSpeedLoads))
		s.clk.after(time.Duration(took*float64(time.Second)), func() {
			s.models--
			done()
		})
	})
}

func (s *fakeStore) loadAdapter(done func()) {
	s.adapters++
	took := s.d.AdapterLoadMS * max(1, float64(s.adapters)/float64(s.d.WeightStore.AdapterLoadsAtSpeed))
	s.clk.after(millis(took), func() {
		s.adapters--
		done()
	})
}
