package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ownedUnit is the state of one unit at its owner.
type ownedUnit struct {
	unit   Unit
	sizes  []Slots
	used   []int
	shares map[string]*share
	// waitQueue lists the shares that want slots for waiting requests, and
	// spareQueue those that want spare slots, each with the longest waiting
	// share first.
	waitQueue  []*share
	spareQueue []*share
	// openRecalls is the number of shares with a recall that has not ended.
	openRecalls int
}

// share is the number of slots of a unit that one holder has been granted, per
// upstream and in total, together with what it wants.
type share struct {
	session *holderSession
	owned   *ownedUnit
	granted []int
	total   int
	tied    int
	wanted  int
	spare   int
	except  []string
	// lastGrant is the instant at which the holder was last granted a slot.
	lastGrant time.Duration
	// idleSlots is the number of unused slots that the holder last reported.
	idleSlots int
	// recall is set while the holder is asked to keep at most keep slots, and
	// idleOnly if it has to give back only slots that no request uses.
	recall   bool
	idleOnly bool
	keep     int
	// busyUntil is the instant until which the holder is not asked for an idle
	// slot again, because it had none.
	busyUntil time.Duration
	// refused and wait are those of UnitAnswer.
	refused bool
	wait    time.Duration
	// unconfirmed is set until the holder has confirmed the current state.
	// firstSentIn is the sequence number of the first answer that carried this
	// state, or 0 if none has been sent yet.
	unconfirmed bool
	firstSentIn uint64
}

// size returns the number of slots that the holder has for short requests.
// Shares are compared by this number.
func (sh *share) size() int { return max(0, sh.total-sh.tied) }

func (sh *share) empty() bool { return sh.total == 0 && sh.wanted == 0 && sh.spare == 0 }

func (sh *share) markUnconfirmed() {
	if !sh.unconfirmed {
		sh.session.unconfirmed = append(sh.session.unconfirmed, sh)
	}
	sh.unconfirmed = true
	sh.firstSentIn = 0
}

func (sh *share) endRecall() {
	if sh.recall {
		sh.recall = false
		sh.owned.openRecalls--
	}
}

// applyClaims adjusts the grants to the slots that the holder claims: slots
// that it gave back become free, and slots that it uses without a grant are
// granted if they are free.
func (sh *share) applyClaims(claims []Slots) {
	for i, size := range sh.owned.sizes {
		claimed := 0
		for _, c := range claims {
			if c.Upstream == size.Upstream {
				claimed = c.Count
			}
		}
		free := max(0, size.Count-sh.owned.used[i])
		sh.setGranted(i, max(0, min(claimed, sh.granted[i]+free)))
	}
}

func (sh *share) setGranted(i, count int) {
	change := count - sh.granted[i]
	sh.granted[i] = count
	sh.total += change
	sh.owned.used[i] += change
}

// updateQueues adds the share to the queues or removes it, according to what it
// wants. A share that is already queued keeps its place.
func (u *ownedUnit) updateQueues(sh *share) {
	u.waitQueue = setListed(u.waitQueue, sh, sh.wanted > 0)
	u.spareQueue = setListed(u.spareQueue, sh, sh.spare > 0)
}

func (u *ownedUnit) leaveQueues(sh *share) {
	u.waitQueue = setListed(u.waitQueue, sh, false)
	u.spareQueue = setListed(u.spareQueue, sh, false)
}

// leastServedFirst returns the waiting shares in ascending order of the
// fraction of the needed slots that they have, and among equals the longest
// waiting first.
func (u *ownedUnit) leastServedFirst() []*share {
	order := slices.Clone(u.waitQueue)
	slices.SortStableFunc(order, func(a, b *share) int {
		return cmp.Compare(a.size()*(b.size()+b.wanted), b.size()*(a.size()+a.wanted))
	})
	return order
}

// largestSource returns the share with the most slots that can give one to the
// requester, and among equals the one whose last grant is oldest.
func (u *ownedUnit) largestSource(requester *share) *share {
	var source *share
	for _, sh := range u.shares {
		if sh == requester || sh.recall || !sh.hasSlotOutside(requester.except) {
			continue
		}
		if source == nil || sh.larger(source) {
			source = sh
		}
	}
	return source
}

// idleSource returns the share that is most likely to have an idle slot: its
// holder has no waiting requests and has had time to use its last slot. If
// there is none, at is the instant at which there may be one, or 0 for never.
func (u *ownedUnit) idleSource(now time.Duration, requester *share) (source *share, at time.Duration) {
	for _, sh := range u.shares {
		if sh == requester || sh.recall || sh.wanted > 0 || !sh.hasSlotOutside(requester.except) {
			continue
		}
		if recallableAt := max(sh.busyUntil, sh.lastGrant+busyPeriod); now < recallableAt {
			at = earlier(at, recallableAt)
			continue
		}
		if source == nil || sh.moreIdle(source) {
			source = sh
		}
	}
	return source, at
}

// earlier returns the earlier of two instants, where 0 means none.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// moreIdle defines a total order, as larger does.
func (sh *share) moreIdle(other *share) bool {
	if sh.idleSlots != other.idleSlots {
		return sh.idleSlots > other.idleSlots
	}
	return sh.larger(other)
}

// larger defines a total order, so that the choice does not depend on the
// iteration order of a map.
func (sh *share) larger(other *share) bool {
	if sh.size() != other.size() {
		return sh.size() > other.size()
	}
	if sh.lastGrant != other.lastGrant {
		return sh.lastGrant < other.lastGrant
	}
	return sh.session.holder < other.session.holder
}

// hasSlotOutside reports whether the share has a slot on an upstream other than
// the given ones.
func (sh *share) hasSlotOutside(except []string) bool {
	for i, granted := range sh.granted {
		if granted > 0 && !slices.Contains(except, sh.owned.sizes[i].Upstream) {
			return true
		}
	}
	return false
}

func (u *ownedUnit) remove(sh *share) {
	u.leaveQueues(sh)
	sh.endRecall()
	if u.shares[sh.session.holder] == sh {
		delete(u.shares, sh.session.holder)
	}
}

// resize replaces the upstreams of the unit and reduces the grants to the new
// sizes. Holders are visited by name, so that the result is deterministic.
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
			sh.setGranted(i, min(granted[before], free))
		}
	}
	sh.markUnconfirmed()
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
