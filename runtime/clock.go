package runtime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"wisteriapond/core"
)

// clock is the clock of instants. It goes on while the machine is suspended,
// unlike the clock that package time uses: orders must not start on facts from
// before a suspension, and leases have run out meanwhile.
type clock struct {
	origin int64
}

func newClock() clock { return clock{origin: sinceBoot()} }

// sinceBoot returns the nanoseconds since the machine was started.
func sinceBoot() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("read the clock since boot: %v", err))
	}
	return t.Nano()
}

func (c clock) now() core.Instant { return core.Instant(sinceBoot() - c.origin) }

// deadline returns the time of an instant for socket deadlines.
func (c clock) deadline(at core.Instant) time.Time {
	return time.Now().Add(at.Sub(c.now()))
}
