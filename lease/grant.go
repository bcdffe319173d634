package lease

import (
	"slices"
	"time"
)

const (
	// minTurn is the time for which a holder keeps its only slot before it may
	// be recalled for a holder that has none, when there are more holders than
	// slots. It is about one round trip between regions, so that the slot is
	// used before it moves on.
	minTurn = 25 * time.Millisecond
	// busyPeriod is the time for which a holder that had no idle slot is not
	// asked for one again. Short requests take about as long.
	busyPeriod = 10 * time.Millisecond
	// maxRecalls bounds the number of slots of one unit that are being recalled
	// at the same time.
	maxRecalls = 8
)

// distribute grants free slots to the waiting shares and starts recalls for
// those that still want some. Only when no share is waiting does it grant spare
// slots.
func (o *Owner) distribute(now time.Duration, u *ownedUnit) {
	for len(u.waitQueue) > 0 && o.grantNext(now, u) {
	}
	if len(u.waitQueue) > 0 {
		o.recall(now, u)
		return
	}
	for _, sh := range slices.Clone(u.spareQueue) {
		for sh.spare > 0 && o.grantSlot(now, sh) {
			sh.spare--
		}
		u.updateQueues(sh)
	}
}

// grantNext grants one slot to the least-served share that can use one, so that
// a recalled slot does not return to a host that has many and still wants more.
func (o *Owner) grantNext(now time.Duration, u *ownedUnit) bool {
	for _, sh := range u.leastServedFirst() {
		if o.grantSlot(now, sh) {
			sh.wanted--
			u.updateQueues(sh)
			return true
		}
	}
	return false
}

// grantSlot grants one slot of the upstream with the most free slots, and
// reports whether there was one.
func (o *Owner) grantSlot(now time.Duration, sh *share) bool {
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
	sh.setGranted(best, sh.granted[best]+1)
	sh.lastGrant = now
	sh.markUnconfirmed()
	o.changed[sh.session.holder] = sh.session
	return true
}

// recall asks, for each waiting share in least-served order, one holder to give
// back a slot: the one with the most slots if that moves the shares towards
// equality, otherwise one that is likely to have an idle slot.
func (o *Owner) recall(now time.Duration, u *ownedUnit) {
	limit := min(len(u.waitQueue), maxRecalls)
	for _, requester := range u.leastServedFirst() {
		if u.openRecalls >= limit {
			return
		}
		source, idleOnly := u.largestSource(requester), false
		if source == nil || !mayRecall(now, source, requester) {
			var at time.Duration
			source, at = u.idleSource(now, requester)
			idleOnly = true
			if source == nil {
				o.recallCheckAt = earlier(o.recallCheckAt, at)
				continue
			}
		}
		source.recall = true
		source.idleOnly = idleOnly
		source.keep = source.total - 1
		u.openRecalls++
		source.markUnconfirmed()
		o.changed[source.session.holder] = source.session
	}
}
