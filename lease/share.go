package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ownedUnit is the table of one unit.
type ownedUnit struct {
	unit   Unit
	sizes  []Slots
	used   []int
	shares map[string]*share
	// waiting lists the shares that want slots for waiting requests, and sparing
	// those that want spare slots, the longest wait first.
	waiting []*share
	sparing []*share
	// recalls is the number of shares that were asked for a slot.
	recalls int
}

// share is what one holder has of a unit.
type share struct {
	session *session
	owned   *ownedUnit
	granted []int
	total   int
	wanted  int
	spare   int
	except  []string
	since   time.Duration
	// idleSlots is the number of unused slots that the holder last reported.
	idleSlots int
	recall    bool
	idleOnly  bool
	keep      int
	// busyUntil is the end of the time for which the holder is not asked for an
	// idle slot again, since it had none.
	busyUntil time.Duration
	refused   bool
	wait      time.Duration
	// dirty is set until the holder has confirmed answer number changedAt.
	dirty     bool
	changedAt uint64
}

func (sh *share) idle() bool { return sh.total == 0 && sh.wanted == 0 && sh.spare == 0 }

func (sh *share) mark() {
	if !sh.dirty {
		sh.session.dirty = append(sh.session.dirty, sh)
	}
	sh.dirty = true
	sh.changedAt = 0
}

func (sh *share) endRecall() {
	if sh.recall {
		sh.recall = false
		sh.owned.recalls--
	}
}

// claim takes over what the holder says that it holds: slots that it gave back
// become free, and slots that it uses without a grant are granted if free.
func (sh *share) claim(claims []Slots) {
	for i, size := range sh.owned.sizes {
		claimed := 0
		for _, c := range claims {
			if c.Upstream == size.Upstream {
				claimed = c.Count
			}
		}
		free := max(0, size.Count-sh.owned.used[i])
		sh.set(i, max(0, min(claimed, sh.granted[i]+free)))
	}
}

func (sh *share) set(i, count int) {
	change := count - sh.granted[i]
	sh.granted[i] = count
	sh.total += change
	sh.owned.used[i] += change
}

// queue keeps the place of a share that waits already.
func (u *ownedUnit) queue(sh *share) {
	u.waiting = place(u.waiting, sh, sh.wanted > 0)
	u.sparing = place(u.sparing, sh, sh.spare > 0)
}

func (u *ownedUnit) unqueue(sh *share) {
	u.waiting = place(u.waiting, sh, false)
	u.sparing = place(u.sparing, sh, false)
}

// poorest returns the shares that wait, those with the fewest slots first and
// the longest waiting first among equals.
func (u *ownedUnit) poorest() []*share {
	order := slices.Clone(u.waiting)
	slices.SortStableFunc(order, func(a, b *share) int { return cmp.Compare(a.total, b.total) })
	return order
}

// victimFor returns the share with the most slots, the longest held among
// equals.
func (u *ownedUnit) victimFor(wisher *share) *share {
	var victim *share
	for _, sh := range u.shares {
		if sh == wisher || sh.recall || !sh.usable(wisher.except) {
			continue
		}
		if victim == nil || sh.richer(victim) {
			victim = sh
		}
	}
	return victim
}

// idleFor returns the share that is most likely to have an idle slot: its
// holder has no request that waits, and had the time to use its last slot.
// Without one, at is the instant at which there may be one, 0 for never.
func (u *ownedUnit) idleFor(now time.Duration, wisher *share) (found *share, at time.Duration) {
	for _, sh := range u.shares {
		if sh == wisher || sh.recall || sh.wanted > 0 || !sh.usable(wisher.except) {
			continue
		}
		if askable := max(sh.busyUntil, sh.since+busyFor); now < askable {
			at = earlier(at, askable)
			continue
		}
		if found == nil || sh.idler(found) {
			found = sh
		}
	}
	return found, at
}

// earlier returns the earlier of two instants, of which 0 stands for none.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// idler is a total order, as richer is.
func (sh *share) idler(other *share) bool {
	if sh.idleSlots != other.idleSlots {
		return sh.idleSlots > other.idleSlots
	}
	return sh.richer(other)
}

// richer is a total order, so that the choice does not depend on the order of
// a map.
func (sh *share) richer(other *share) bool {
	if sh.total != other.total {
		return sh.total > other.total
	}
	if sh.since != other.since {
		return sh.since < other.since
	}
	return sh.session.holder < other.session.holder
}

// usable reports whether the share has a slot outside of the given upstreams.
func (sh *share) usable(except []string) bool {
	for i, granted := range sh.granted {
		if granted > 0 && !slices.Contains(except, sh.owned.sizes[i].Upstream) {
			return true
		}
	}
	return false
}

func (u *ownedUnit) remove(sh *share) {
	u.unqueue(sh)
	sh.endRecall()
	if u.shares[sh.session.holder] == sh {
		delete(u.shares, sh.session.holder)
	}
}

func (u *ownedUnit) resize(sizes []Slots) {
	old := u.sizes
	u.sizes = sizes
	u.used = make([]int, len(sizes))
	for _, holder := range slices.Sorted(maps.Keys(u.shares)) {
		u.shares[holder].resize(old)
	}
}

func (sh *share) resize(old []Slots) {
	granted := sh.granted
	sh.granted = make([]int, len(sh.owned.sizes))
	sh.total = 0
	for i, size := range sh.owned.sizes {
		before := slices.IndexFunc(old, func(s Slots) bool { return s.Upstream == size.Upstream })
		if before >= 0 {
			free := max(0, size.Count-sh.owned.used[i])
			sh.set(i, min(granted[before], free))
		}
	}
	sh.mark()
}

func (sh *share) answer() UnitAnswer {
	answer := UnitAnswer{Unit: sh.owned.unit, Refused: sh.refused, Wait: sh.wait}
	if sh.refused {
		return answer
	}
	answer.Recall, answer.IdleOnly, answer.Keep = sh.recall, sh.idleOnly, sh.keep
	for i, count := range sh.granted {
		if count > 0 {
			answer.Grants = append(answer.Grants, Slots{Upstream: sh.owned.sizes[i].Upstream, Count: count})
		}
	}
	return answer
}
