package generation

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"wisteriapond/membership"
)

// leastWatchers is the least number of hosts that watch the configuration
// service, so that the loss of one delays no change.
const leastWatchers = 2

const watchDuty = "watch of the manifest"

// HashOf returns a hash that is the same on every host.
func HashOf(text string) uint64 { return xxhash.Sum64String(text) }

// WatcherCount returns how many of n live hosts watch the configuration service.
// The square root keeps the calls below the service's limit, which grows more
// slowly than the fleet.
func WatcherCount(n int) int {
	return max(leastWatchers, int(math.Ceil(math.Sqrt(float64(n)))))
}

// IsWatcher reports whether a host is among the watchers, by rendezvous hashing
// over the live hosts. The others do not include the host itself.
func IsWatcher(self string, others []membership.Member) bool {
	duty := HashOf(watchDuty)
	own := membership.Score(duty, HashOf(self))
	before := 0
	for _, other := range others {
		if membership.Score(duty, HashOf(other.Name)) > own {
			before++
		}
	}
	return before < WatcherCount(len(others)+1)
}
