package balance

const (
	// minSlowness and maxSlowness bound a model's slowness. The time to a first event holds waits as well, so that larger ratios
	// say more of a model's queues than of its speed.
	minSlowness = 0.5
	maxSlowness = 2.0
)

// Slowness returns the engine time of a request for the model in proportion to that of one for a model of average speed, as far
// as this host has learned it from first events; 1 if it is not known.
func (b *Balancer) Slowness(model string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(maxSlowness, max(minSlowness, b.latencyRatio(model)))
}
