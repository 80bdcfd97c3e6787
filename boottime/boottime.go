// Package boottime reads the clock that goes on while the host is suspended.
// Validity that others wait out is measured with it: the steady clock stands
// still in a freeze, and the time of day jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's start as a time without a steady part.
// It is comparable only with other results of Now in the same process.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Unix(t.Unix())
}
