// Package clock provides the time by which leases are measured.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its creation, including the time for which the
// machine was suspended.
type Clock struct{ start time.Duration }

// New returns a clock that starts at zero.
func New() *Clock { return &Clock{start: bootTime()} }

// Now returns the time since the clock was created.
func (c *Clock) Now() time.Duration { return bootTime() - c.start }

// bootTime reads CLOCK_BOOTTIME. Go's monotonic clock does not advance while the
// machine is suspended, so a lease measured with it would still count as valid
// after a suspension longer than its duration.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
