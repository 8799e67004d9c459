package replay

import (
	"time"
)

// fakeWeightStore simulates the limits of the weight store: model loads start at a bounded rate, and more than
// FullSpeedLoads loads in flight share the bandwidth of that many. Adapter loads slow down in the same way.
type fakeWeightStore struct {
	deployment      *Deployment
	clock           *clock
	nextModelLoadAt time.Duration
	modelLoads      int // in flight
	adapterLoads    int
}

// loadModel calls done when the weights of a model are loaded. The number of loads in flight at the start of the load
// determines its speed.
func (s *fakeWeightStore) loadModel(bytes int64, done func()) {
	start := max(s.clock.now, s.nextModelLoadAt)
	s.nextModelLoadAt = start + time.Duration(float64(time.Second)/s.deployment.WeightStore.LoadsPerSecond)
	s.clock.scheduleAt(start, func() {
		s.modelLoads++
		seconds := float64(bytes) / float64(s.deployment.LoadBytesPerSecond)
		seconds *= max(1, float64(s.modelLoads)/float64(s.deployment.WeightStore.FullSpeedLoads))
		s.clock.scheduleAfter(time.Duration(seconds*float64(time.Second)), func() {
			s.modelLoads--
			done()
		})
	})
}

// loadAdapter calls done when an adapter is loaded. The number of loads in flight at its start determines its speed.
func (s *fakeWeightStore) loadAdapter(done func()) {
	s.adapterLoads++
	durationMS := s.deployment.AdapterLoadMS *
		max(1, float64(s.adapterLoads)/float64(s.deployment.WeightStore.AdapterLoadsAtSpeed))
	s.clock.scheduleAfter(millis(durationMS), func() {
		s.adapterLoads--
		done()
	})
}
