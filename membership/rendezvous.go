package membership

import "github.com/cespare/xxhash/v2"

// HashName returns the hash of a name or key to be passed to Score.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of a member for a key in rendezvous hashing: the
// member with the highest score has the responsibility that the key identifies.
// Hosts that know the same members agree without exchanging a message, and when
// one member changes, only the responsibilities of that member move.
func Score(key, member uint64) uint64 {
	z := key ^ (member * 0x9e3779b97f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
