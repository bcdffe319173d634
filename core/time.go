package core

import "time"

// Instant is a point in time on the monotonic clock of the process, in nanoseconds
// since an arbitrary start. It is meaningless on other hosts and never sent to
// them.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }
