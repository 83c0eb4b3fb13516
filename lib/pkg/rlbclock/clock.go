// Package rlbclock reads a monotonic clock that includes the time during which
// the instance was suspended, so that a deadline that passes during a suspension
// counts as expired afterwards. Readings are comparable only within one boot of
// the instance.
package rlbclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the current reading. It is not affected by changes of the wall
// clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // fallback for kernels without CLOCK_BOOTTIME
	}
	return time.Unix(ts.Unix())
}
