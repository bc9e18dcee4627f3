package control

import (
	"sync"
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

// pauseThreshold is the shortest pause that a PauseDetector reports.
const pauseThreshold = 100 * time.Millisecond

// PauseDetector detects that the VM was suspended. Timers and Go's monotonic clock stop meanwhile, so that an authority which is
// measured with them could outlast its end. The zero value is ready for use. It is safe for concurrent use.
type PauseDetector struct {
	mu sync.Mutex
	// offset is the time since boot less the monotonic time since began.
	offset time.Duration
	began  time.Time
}

// Paused reports whether the VM was suspended since the last call.
func (d *PauseDetector) Paused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := d.began.IsZero()
	if first {
		d.began = time.Now()
	}
	before := d.offset
	d.offset = sinceBoot() - time.Since(d.began)
	return !first && d.offset-before > pauseThreshold
}
