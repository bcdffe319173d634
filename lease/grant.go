package lease

import (
	"slices"
	"time"
)

const (
	// rotateAfter is the time after which a slot may be recalled for a holder
	// that has none, when there are more holders than slots. It is a round trip
	// between regions, so that the slot is used before it moves on.
	rotateAfter = 25 * time.Millisecond
	// busyFor is the time for which a holder without idle slots is not asked
	// again. Short requests take about as long.
	busyFor = 10 * time.Millisecond
	// maxRecalls bounds the slots of a unit that are recalled at once.
	maxRecalls = 8
)

// grant gives free slots to the shares that wait, then recalls slots for those
// that still want some, then gives what is left as spare slots.
func (o *Owner) grant(now time.Duration, u *ownedUnit) {
	for len(u.waiting) > 0 && o.giveNext(now, u) {
	}
	if len(u.waiting) > 0 {
		o.recall(now, u)
		return
	}
	for _, sh := range slices.Clone(u.sparing) {
		for sh.spare > 0 && o.give(now, sh) {
			sh.spare--
		}
		u.queue(sh)
	}
}

// giveNext grants one slot to the share with the fewest, the longest waiting
// one among equals. A slot that was recalled would otherwise return to a host
// that has many and still wants more.
func (o *Owner) giveNext(now time.Duration, u *ownedUnit) bool {
	for _, sh := range u.poorest() {
		if o.give(now, sh) {
			sh.wanted--
			u.queue(sh)
			return true
		}
	}
	return false
}

// give grants one slot of the upstream with the most free slots.
func (o *Owner) give(now time.Duration, sh *share) bool {
	u := sh.owned
	best, most := -1, 0
	for i, size := range u.sizes {
		free := size.Count - u.used[i]
		if free > most && !slices.Contains(sh.except, size.Upstream) {
			best, most = i, free
		}
	}
	if best < 0 || sh.refused || sh.recall {
		return false
	}
	sh.set(best, sh.granted[best]+1)
	sh.since = now
	sh.mark()
	o.changed[sh.session.holder] = sh.session
	return true
}

// recall asks the holders with the most slots to give one back for each share
// that waits, the one with the fewest first.
func (o *Owner) recall(now time.Duration, u *ownedUnit) {
	limit := min(len(u.waiting), maxRecalls)
	for _, wisher := range u.poorest() {
		if u.recalls >= limit {
			return
		}
		victim, idleOnly := u.victimFor(wisher), false
		if victim == nil || !mayRecall(now, victim, wisher) {
			var at time.Duration
			victim, at = u.idleFor(now, wisher)
			idleOnly = true
			if victim == nil {
				o.checkAt = earlier(o.checkAt, at)
				continue
			}
		}
		victim.recall = true
		victim.idleOnly = idleOnly
		victim.keep = victim.total - 1
		u.recalls++
		victim.mark()
		o.changed[victim.session.holder] = victim.session
	}
}
