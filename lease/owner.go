package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// rotateAfter is the time after which a slot may be recalled for a holder
	// that has none, when there are more holders than slots.
	rotateAfter = 25 * time.Millisecond
	// maxRecalls bounds the slots of a unit that are recalled at once.
	maxRecalls = 8
	// maxSessions and maxUnits bound the tables of an owner.
	maxSessions = 4096
	maxUnits    = 1 << 16
	// maxUnitsPerAsk bounds the work for one message.
	maxUnitsPerAsk = 256
)

// Duty says whether this host owns a unit. Wait is the time for which a new
// owner must not grant yet.
type Duty struct {
	Mine bool
	Wait time.Duration
}

// Facts tells an owner what it needs about units.
type Facts interface {
	Duty(Unit) Duty
	// Sizes returns the slots of each upstream of a unit, in a fixed order.
	// Upstreams that are leaving have none.
	Sizes(Unit) []Slots
}

// Reply is an answer to be sent to a holder.
type Reply struct {
	Holder string
	Answer Answer
}

// Owner is the table of slots that this host grants.
type Owner struct {
	facts    Facts
	units    map[Unit]*ownedUnit
	sessions map[string]*session
	changed  map[string]*session
}

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
	recall  bool
	keep    int
	refused bool
	wait    time.Duration
	// dirty is set until the holder has confirmed answer number changedAt.
	dirty     bool
	changedAt uint64
}

// session is the conversation with one holder.
type session struct {
	holder   string
	number   uint64
	asked    uint64
	sequence uint64
	expires  time.Duration
	shares   map[Unit]*share
	// dirty lists the shares that the holder has not confirmed.
	dirty []*share
}

// NewOwner returns an empty table.
func NewOwner(facts Facts) *Owner {
	o := &Owner{facts: facts}
	o.Reset()
	return o
}

// Reset drops every grant. The caller makes sure that the duties begin with a
// wait of Longest.
func (o *Owner) Reset() {
	o.units = make(map[Unit]*ownedUnit)
	o.sessions = make(map[string]*session)
	o.changed = make(map[string]*session)
}

// Granted returns the number of slots granted and the number of holders.
func (o *Owner) Granted() (slots, holders int) {
	for _, u := range o.units {
		for _, used := range u.used {
			slots += used
		}
	}
	return slots, len(o.sessions)
}

// Used returns the slots of a unit that are granted, by upstream.
func (o *Owner) Used(unit Unit) []Slots {
	u := o.units[unit]
	if u == nil {
		return nil
	}
	used := slices.Clone(u.sizes)
	for i := range used {
		used[i].Count = u.used[i]
	}
	return used
}

// Receive applies an ask.
func (o *Owner) Receive(now time.Duration, holder string, ask Ask) {
	s := o.sessions[holder]
	if s != nil && (ask.Session < s.number || ask.Session == s.number && ask.Sequence <= s.asked) {
		return
	}
	if s != nil && ask.Session > s.number {
		o.end(now, s)
		s = nil
	}
	if s == nil {
		s = &session{holder: holder, number: ask.Session, shares: make(map[Unit]*share)}
		if !ask.Fresh || len(o.sessions) >= maxSessions {
			o.changed[holder] = s
			return
		}
		o.sessions[holder] = s
	}
	s.asked = ask.Sequence
	s.expires = now + Longest
	o.changed[holder] = s
	s.confirm(ask.Seen)
	for _, unitAsk := range ask.Units[:min(len(ask.Units), maxUnitsPerAsk)] {
		o.apply(now, s, unitAsk)
	}
}

// confirm notes which answers the holder has received.
func (s *session) confirm(seen uint64) {
	s.dirty = slices.DeleteFunc(s.dirty, func(sh *share) bool {
		if sh.changedAt == 0 || sh.changedAt > seen {
			return false
		}
		sh.dirty = false
		if sh.idle() {
			sh.owned.remove(sh)
			if s.shares[sh.owned.unit] == sh {
				delete(s.shares, sh.owned.unit)
			}
		}
		return true
	})
}

func (sh *share) idle() bool { return sh.total == 0 && sh.wanted == 0 && sh.spare == 0 }

// apply takes what a holder says about one unit.
func (o *Owner) apply(now time.Duration, s *session, ask UnitAsk) {
	duty := o.facts.Duty(ask.Unit)
	sh := o.share(s, ask.Unit, duty.Mine)
	if sh == nil {
		return
	}
	sh.mark()
	if !duty.Mine {
		o.refuse(now, sh, 0)
		return
	}
	sh.refused, sh.wait = duty.Wait > 0, duty.Wait
	sh.claim(ask.Claims)
	sh.wanted, sh.spare, sh.except = max(0, ask.Wanted), max(0, ask.Spare), ask.Except
	if sh.recall && sh.total <= sh.keep {
		sh.endRecall()
	}
	if duty.Wait > 0 {
		return
	}
	sh.owned.queue(sh)
	o.grant(now, sh.owned)
}

// share returns the share of a holder in a unit. For a unit of another owner
// the share stays outside of the tables and only carries the refusal.
func (o *Owner) share(s *session, unit Unit, mine bool) *share {
	u := o.units[unit]
	if sh := s.shares[unit]; sh != nil && (!mine || sh.owned == u) {
		return sh
	}
	if u == nil {
		u = &ownedUnit{unit: unit, shares: make(map[string]*share)}
		if mine {
			if len(o.units) >= maxUnits {
				return nil
			}
			u.resize(o.facts.Sizes(unit))
			o.units[unit] = u
		}
	}
	sh := &share{session: s, owned: u, granted: make([]int, len(u.sizes))}
	s.shares[unit] = sh
	u.shares[s.holder] = sh
	return sh
}

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

// refuse drops a share because this host does not own the unit.
func (o *Owner) refuse(now time.Duration, sh *share, wait time.Duration) {
	for i := range sh.granted {
		sh.set(i, 0)
	}
	sh.wanted, sh.spare = 0, 0
	sh.endRecall()
	sh.refused, sh.wait = true, wait
	sh.mark()
	sh.owned.unqueue(sh)
	o.changed[sh.session.holder] = sh.session
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

// place makes a share part of a list or not.
func place(list []*share, sh *share, in bool) []*share {
	i := slices.Index(list, sh)
	switch {
	case in && i < 0:
		return append(list, sh)
	case !in && i >= 0:
		return slices.Delete(list, i, i+1)
	}
	return list
}

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
		victim := u.victimFor(wisher)
		if victim == nil || !mayRecall(now, victim, wisher) {
			continue
		}
		victim.recall = true
		victim.keep = victim.total - 1
		u.recalls++
		victim.mark()
		o.changed[victim.session.holder] = victim.session
	}
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

// mayRecall lets slots move towards equal shares. A difference of one slot is
// left as it is, since moving it would only exchange the places; a holder
// without any slot gets its turn.
func mayRecall(now time.Duration, victim, wisher *share) bool {
	if victim.total >= wisher.total+2 {
		return true
	}
	return wisher.total == 0 && victim.total == 1 && now-victim.since >= rotateAfter
}

// Tick expires the sessions that were not renewed and goes on with recalls.
func (o *Owner) Tick(now time.Duration) {
	for _, holder := range slices.Sorted(maps.Keys(o.sessions)) {
		if s := o.sessions[holder]; now >= s.expires {
			o.end(now, s)
		}
	}
	for _, unit := range slices.SortedFunc(maps.Keys(o.units), compareUnits) {
		u := o.units[unit]
		switch {
		case len(u.shares) == 0:
			delete(o.units, unit)
		case len(u.waiting) > 0:
			o.grant(now, u)
		}
	}
}

func compareUnits(a, b Unit) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
}

// end drops a session with all of its grants.
func (o *Owner) end(now time.Duration, s *session) {
	delete(o.sessions, s.holder)
	delete(o.changed, s.holder)
	for _, unit := range slices.SortedFunc(maps.Keys(s.shares), compareUnits) {
		sh := s.shares[unit]
		for i := range sh.granted {
			sh.set(i, 0)
		}
		sh.owned.remove(sh)
		if o.units[unit] == sh.owned {
			o.grant(now, sh.owned)
		}
	}
}

func (u *ownedUnit) remove(sh *share) {
	u.unqueue(sh)
	sh.endRecall()
	if u.shares[sh.session.holder] == sh {
		delete(u.shares, sh.session.holder)
	}
}

// ViewChanged drops the units that this host no longer owns.
func (o *Owner) ViewChanged(now time.Duration) {
	for _, unit := range slices.SortedFunc(maps.Keys(o.units), compareUnits) {
		if o.facts.Duty(unit).Mine {
			continue
		}
		u := o.units[unit]
		delete(o.units, unit)
		for _, holder := range slices.Sorted(maps.Keys(u.shares)) {
			o.refuse(now, u.shares[holder], 0)
		}
	}
}

// SizesChanged takes over new upstreams, slots and leaving marks. Slots
// granted beyond a new size are taken back.
func (o *Owner) SizesChanged(now time.Duration, unit Unit) {
	u := o.units[unit]
	if u == nil {
		return
	}
	sizes := o.facts.Sizes(unit)
	if slices.Equal(sizes, u.sizes) {
		return
	}
	u.resize(sizes)
	for _, sh := range u.shares {
		o.changed[sh.session.holder] = sh.session
	}
	o.grant(now, u)
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

// Replies returns the answers that are due, in the order of holders.
func (o *Owner) Replies() []Reply {
	if len(o.changed) == 0 {
		return nil
	}
	replies := make([]Reply, 0, len(o.changed))
	for _, holder := range slices.Sorted(maps.Keys(o.changed)) {
		s := o.changed[holder]
		replies = append(replies, Reply{Holder: holder, Answer: s.answer(o.sessions[holder] != s)})
	}
	clear(o.changed)
	return replies
}

func (s *session) answer(unknown bool) Answer {
	if unknown {
		return Answer{Session: s.number, Restart: true}
	}
	s.sequence++
	answer := Answer{Session: s.number, Asked: s.asked, Sequence: s.sequence, For: Longest}
	for _, sh := range s.dirty {
		if sh.changedAt == 0 {
			sh.changedAt = s.sequence
		}
		answer.Units = append(answer.Units, sh.answer())
	}
	return answer
}

func (sh *share) answer() UnitAnswer {
	answer := UnitAnswer{Unit: sh.owned.unit, Refused: sh.refused, Wait: sh.wait}
	if sh.refused {
		return answer
	}
	answer.Recall, answer.Keep = sh.recall, sh.keep
	for i, count := range sh.granted {
		if count > 0 {
			answer.Grants = append(answer.Grants, Slots{Upstream: sh.owned.sizes[i].Upstream, Count: count})
		}
	}
	return answer
}
