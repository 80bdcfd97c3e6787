// Package boottime reads the boot-time clock (CLOCK_BOOTTIME), which also
// advances while the host is suspended. Group leases are timed by it, because
// other hosts take over once a lease has expired: the monotonic clock stops while
// the host is suspended, and the time of day may jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's boot as a time.Time without a monotonic
// reading. It is comparable only with other results of Now in the same process.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Unix(t.Unix())
}
