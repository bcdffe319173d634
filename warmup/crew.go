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

// Crew is the set of hosts of one failure domain that share the turns of cold
// servers. As long as each host that uses turns knows all others that do, no turn is
// used twice; hosts that are only remembered cost the turns that fall to them.
type Crew struct {
	self   string
	domain uint64
	seen   map[string]time.Duration
	// rivals holds the hashes of the other hosts among which turns are
	// distributed. It is valid if sorted is set.
	rivals []uint64
	sorted bool
	member bool
	own    uint64
	// version counts the changes of the set.
	version int
	// oldest is the least of the instants in seen, or an earlier one.
	oldest time.Duration
	// since is the instant from which this host uses turns, if takes is set.
	since time.Duration
	takes bool
}

// NewCrew returns a crew of this host alone, which uses no turns until Join.
func NewCrew(self, domain string) *Crew {
	return &Crew{self: self, domain: xxhash.Sum64String(domain), own: xxhash.Sum64String(self), seen: make(map[string]time.Duration)}
}

// Join lets this host use the turns that begin from now on. It must know the other
// hosts by then. Turns that begin earlier are left out: before a restart, this host
// may have used them.
func (c *Crew) Join(now time.Duration) {
	if !c.takes {
		c.takes, c.since = true, now
		c.version++
	}
}

// Joined reports whether this host uses turns.
func (c *Crew) Joined() bool { return c.takes }

// Size returns the number of known hosts, this one included.
func (c *Crew) Size() int { return len(c.seen) + 1 }

// See records that a host of the failure domain is known at the given instant.
func (c *Crew) See(now time.Duration, name string) {
	if name == c.self {
		return
	}
	_, known := c.seen[name]
	if !known && len(c.seen) >= maxRemembered {
		return
	}
	if len(c.seen) == 0 {
		c.oldest = now
	}
	c.seen[name] = now
	if !known {
		c.changed()
	}
}

// Expire forgets the hosts that were not seen for hostMemory.
func (c *Crew) Expire(now time.Duration) {
	if len(c.seen) == 0 || now-c.oldest < hostMemory {
		return
	}
	c.oldest = now
	for name, at := range c.seen {
		if now-at >= hostMemory {
			delete(c.seen, name)
			c.changed()
			continue
		}
		c.oldest = min(c.oldest, at)
	}
}

func (c *Crew) changed() {
	c.sorted = false
	c.version++
}

// selectRivals selects the other hosts among which turns are distributed, and
// whether this host is one of them.
func (c *Crew) selectRivals() {
	if c.sorted {
		return
	}
	names := make([]string, 0, len(c.seen))
	for name := range c.seen {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	position, _ := slices.BinarySearch(names, c.self)
	c.member = position < maxHosts
	names = names[:min(len(names), maxHosts-1)]
	c.rivals = c.rivals[:0]
	for _, name := range names {
		c.rivals = append(c.rivals, xxhash.Sum64String(name))
	}
	c.sorted = true
}

// owns reports whether a turn falls to this host: to its failure domain among those
// that share the turns of the server, and to it among the hosts of the domain.
func (c *Crew) owns(server uint64, turn int64, domains []uint64) bool {
	if !c.shares(domains) {
		return false
	}
	key := mix(server + uint64(turn))
	return first(key, c.domain, domains) && first(key, c.own, c.rivals)
}

// shares reports whether this host uses turns of servers whose turns are shared by
// the hosts of the given failure domains.
func (c *Crew) shares(domains []uint64) bool {
	c.selectRivals()
	return c.takes && c.member && slices.Contains(domains, c.domain)
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
