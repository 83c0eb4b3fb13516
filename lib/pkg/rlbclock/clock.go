// Package rlbclock reads a steady clock that also counts the time for which the
// instance was suspended, so that a deadline passed during a suspension is seen
// as passed. Its readings are comparable within one start of the instance only.
package rlbclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the present reading. It never jumps with the time of day.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // a kernel without this clock: the process clock is the nearest one
	}
	return time.Unix(ts.Unix())
}
