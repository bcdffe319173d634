package runtime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"wisteriapond/core"
)

// clock measures instants from its creation on. Unlike the monotonic clock of
// package time it continues while the machine is suspended: after a suspension,
// attempts and probes must not be started on the basis of state from before it,
// and leases have expired in the meantime.
type clock struct {
	origin int64
}

func newClock() clock { return clock{origin: sinceBoot()} }

// sinceBoot returns the time since the machine was booted, in nanoseconds and
// including suspensions.
func sinceBoot() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return t.Nano()
}

func (c clock) now() core.Instant { return core.Instant(sinceBoot() - c.origin) }

// deadline returns the instant as a time.Time for socket deadlines.
func (c clock) deadline(at core.Instant) time.Time {
	return time.Now().Add(at.Sub(c.now()))
}
