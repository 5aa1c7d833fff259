package forwarder

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// bootTime returns the time since the VM booted. Unlike the monotonic clock of package time it includes the time for which the
// VM was suspended, and unlike the wall clock it never jumps (clock_gettime(2), CLOCK_BOOTTIME).
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, eris.Wrap(err, "read the boot clock")
	}
	return time.Duration(t.Nano()), nil
}

// bootAge returns the milliseconds since a time since boot, for logs, or -1 if that time is zero or the clock cannot be read.
func bootAge(at time.Duration) int64 {
	now, err := bootTime()
	if err != nil || at == 0 {
		return -1
	}
	return (now - at).Milliseconds()
}
