package warmup

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// hostMemory is the time for which a host counts after it was last seen. It is
	// long, since hosts on the other side of a partition go on using their turns.
	hostMemory = 10 * time.Minute
	// maxHosts bounds the hosts among which turns are distributed: the first ones
	// by name. Entry hosts name at most that many of a failure domain to each other.
	maxHosts = 64
	// maxRemembered bounds the hosts that are remembered.
	maxRemembered = 4096
)

// HostSet is the set of hosts of one failure domain that share the turns of cold
// servers. As long as each host that uses turns knows all others that do, no turn is
// used twice; hosts that are only remembered cost the turns that fall to them.
type HostSet struct {
	self   string
	domain uint64
	seen   map[string]time.Duration
	// others holds the hashes of the other hosts among which turns are
	// distributed. It is valid if sorted is set.
	others []uint64
	sorted bool
	member bool
	own    uint64
	// version counts the changes of the set.
	version int
	// oldest is the least of the instants in seen, or an earlier one.
	oldest time.Duration
	// since is the instant from which this host uses turns, if active is set.
	since  time.Duration
	active bool
}

// NewHostSet returns a set of this host alone, which uses no turns until Activate.
func NewHostSet(self, domain string) *HostSet {
	return &HostSet{self: self, domain: xxhash.Sum64String(domain), own: xxhash.Sum64String(self), seen: make(map[string]time.Duration)}
}

// Activate lets this host use the turns that begin from now on. It must know the other
// hosts by then. Turns that begin earlier are left out: before a restart, this host
// may have used them.
func (h *HostSet) Activate(now time.Duration) {
	if !h.active {
		h.active, h.since = true, now
		h.version++
	}
}

// Active reports whether this host uses turns.
func (h *HostSet) Active() bool { return h.active }

// Size returns the number of known hosts, this one included.
func (h *HostSet) Size() int { return len(h.seen) + 1 }

// Add records that a host of the failure domain is known at the given instant.
func (h *HostSet) Add(now time.Duration, name string) {
	if name == h.self {
		return
	}
	_, known := h.seen[name]
	if !known && len(h.seen) >= maxRemembered {
		return
	}
	if len(h.seen) == 0 {
		h.oldest = now
	}
	h.seen[name] = now
	if !known {
		h.changed()
	}
}

// Expire forgets the hosts that were not seen for hostMemory.
func (h *HostSet) Expire(now time.Duration) {
	if len(h.seen) == 0 || now-h.oldest < hostMemory {
		return
	}
	h.oldest = now
	for name, at := range h.seen {
		if now-at >= hostMemory {
			delete(h.seen, name)
			h.changed()
			continue
		}
		h.oldest = min(h.oldest, at)
	}
}

func (h *HostSet) changed() {
	h.sorted = false
	h.version++
}

// selectOthers selects the other hosts among which turns are distributed, and
// whether this host is one of them.
func (h *HostSet) selectOthers() {
	if h.sorted {
		return
	}
	names := make([]string, 0, len(h.seen))
	for name := range h.seen {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	position, _ := slices.BinarySearch(names, h.self)
	h.member = position < maxHosts
	names = names[:min(len(names), maxHosts-1)]
	h.others = h.others[:0]
	for _, name := range names {
		h.others = append(h.others, xxhash.Sum64String(name))
	}
	h.sorted = true
}

// owns reports whether a turn falls to this host: to its failure domain among those
// that share the turns of the server, and to it among the hosts of the domain.
func (h *HostSet) owns(server uint64, turn int64, domains []uint64) bool {
	if !h.shares(domains) {
		return false
	}
	key := mix(server + uint64(turn))
	return first(key, h.domain, domains) && first(key, h.own, h.others)
}

// shares reports whether this host uses turns of servers whose turns are shared by
// the hosts of the given failure domains.
func (h *HostSet) shares(domains []uint64) bool {
	h.selectOthers()
	return h.active && h.member && slices.Contains(domains, h.domain)
}

// first reports whether candidate ranks before all others for a key.
func first(key, candidate uint64, others []uint64) bool {
	rank := mix(key ^ candidate)
	for _, other := range others {
		if other != candidate && mix(key^other) > rank {
			return false
		}
	}
	return true
}

// mix is the finalizer of splitmix64, which spreads each bit of its argument over
// the result.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
