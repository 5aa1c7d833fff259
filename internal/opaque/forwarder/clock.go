package forwarder

import (
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// bootTime returns the time since the start of the VM. Unlike the monotonic clock of package time it counts the time for which the
// VM was suspended, and unlike the time of day it never jumps (clock_gettime(2), CLOCK_BOOTTIME).
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, eris.Wrap(err, "read the boot clock")
	}
	return time.Duration(t.Nano()), nil
}
