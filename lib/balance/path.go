package balance

// ForgetFailures forgets what this host has seen of failures of targets, after it was cut off from all of them.
func (b *Balancer) ForgetFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		aside, excess, pooled := t.health.aside, t.health.excess, t.health.pooled // learned from all hosts
		t.health = health{aside: aside, excess: excess, pooled: pooled}
	}
}
