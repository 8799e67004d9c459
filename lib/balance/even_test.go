package balance

import (
	"testing"
	"time"
)

// Guards against the herd: hosts that all take the target which looked empty in the same old reports, or the one target that they
// prefer for a shared prefix, so that targets are overrun in turns. Fails without even load, see BenchmarkFleet.
func TestHostsWithOldNewsLoadTargetsEvenly(t *testing.T) {
	for name, c := range fleetCases(80, time.Second) {
		c.even = true
		if r := runFleet(c); r.meanShare > c.maxShare() {
			t.Errorf("%s: %v", name, r)
		}
	}
}

// maxShare is the share of the busiest target over the mean that a case may have, averaged over windows.
func (c *fleetCase) maxShare() float64 {
	if c.speeds[0] < 1 {
		return 1.7
	}
	return 1.5
}
