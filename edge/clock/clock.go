// Package clock reads the time that permissions are measured with.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts from the process start, including the time in which the machine
// was suspended.
type Clock struct{ start time.Duration }

// New starts a clock.
func New() *Clock { return &Clock{start: bootTime()} }

// Now returns the time since the start.
func (c *Clock) Now() time.Duration { return bootTime() - c.start }

// bootTime reads CLOCK_BOOTTIME. Go's own monotonic clock stands still during a
// suspension, so a lease measured with it would outlive one.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
