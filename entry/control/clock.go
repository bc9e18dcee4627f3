package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the VM booted, including time in which the VM was suspended. Go's monotonic clock
// stops during a suspension, so leases that are measured with it could outlive their TTL.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(now.Nano())
}
