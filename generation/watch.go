package generation

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"wisteriapond/membership"
)

// minWatchers is the minimum number of hosts that watch the configuration
// service, so that the loss of one watcher delays no change.
const minWatchers = 2

// watchKey is hashed to choose the watchers, so all hosts must use the same
// value.
const watchKey = "watch of the manifest"

// hashName returns the hash of a name, which is the same on every host.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// WatcherCount returns how many of n live hosts watch the configuration
// service. The square root keeps the number of calls below the service's limit,
// which grows more slowly than the number of hosts.
func WatcherCount(n int) int {
	return max(minWatchers, int(math.Ceil(math.Sqrt(float64(n)))))
}

// IsWatcher reports whether the host self is one of the watchers, which are
// chosen by rendezvous hashing over the live hosts. The others must not include
// the host itself.
func IsWatcher(self string, others []membership.Member) bool {
	key := hashName(watchKey)
	own := membership.Score(key, hashName(self))
	higher := 0
	for _, other := range others {
		if membership.Score(key, hashName(other.Name)) > own {
			higher++
		}
	}
	return higher < WatcherCount(len(others)+1)
}
