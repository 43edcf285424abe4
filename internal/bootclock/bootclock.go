// Package bootclock provides a clock that counts from the machine's boot. Unlike
// the monotonic clock, it includes time for which the machine was suspended;
// unlike the time of day, it is never adjusted.
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, encoded as a time after the Unix epoch. It is
// comparable only with other results of Now on the same machine since its boot.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic(fmt.Sprintf("read boot clock: %v", err))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
