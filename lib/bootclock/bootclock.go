// Package bootclock reads a monotonic clock that keeps running while the machine is suspended. Leases need it: the usual
// monotonic clock stops meanwhile, so that a resumed holder would consider its expired lease valid.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time in suspension. It panics if the clock cannot be read.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock. Without it leases would never expire, so continuing is not safe.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
