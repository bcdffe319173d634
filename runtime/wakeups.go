package runtime

import (
	"slices"

	"wisteriapond/core"
)

// maxWakeups bounds the number of stored instants. At the limit the latest one
// is dropped; the periodic tick then replaces it, at most core.TickInterval
// late.
const maxWakeups = 4096

// wakeups holds the instants at which the reducer requested a Tick, in
// descending order.
type wakeups struct {
	instants []core.Instant
}

func (w *wakeups) add(at core.Instant) {
	i, found := slices.BinarySearchFunc(w.instants, at, func(have, want core.Instant) int {
		return int(min(1, max(-1, want-have)))
	})
	if found {
		return
	}
	w.instants = slices.Insert(w.instants, i, at)
	if len(w.instants) > maxWakeups {
		w.instants = slices.Delete(w.instants, 0, 1)
	}
}

// next returns the earliest instant, or limit when none is earlier.
func (w *wakeups) next(limit core.Instant) core.Instant {
	if len(w.instants) == 0 {
		return limit
	}
	return min(limit, w.instants[len(w.instants)-1])
}

// removeThrough removes all instants up to and including now.
func (w *wakeups) removeThrough(now core.Instant) {
	for len(w.instants) > 0 && w.instants[len(w.instants)-1] <= now {
		w.instants = w.instants[:len(w.instants)-1]
	}
}
