// Package bootclock reads a steady clock that goes on while the machine is suspended. Leases need it: the usual steady
// clock stands still meanwhile, and a holder that wakes up would take its lease for valid.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel. Its absence must not make leases valid for ever.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
