package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxSessions and maxUnits bound the size of an owner's tables.
	maxSessions = 4096
	maxUnits    = 1 << 16
	// maxUnitsPerAsk bounds the work caused by one message.
	maxUnitsPerAsk = 256
)

// Ownership describes whether this host owns a unit. Wait is the time during
// which a new owner must not grant slots yet.
type Ownership struct {
	Owned bool
	Wait  time.Duration
}

// OwnerEnv provides an Owner with the ownership and the sizes of units.
type OwnerEnv interface {
	// Ownership returns whether this host owns a unit, and the remaining wait
	// of a new owner.
	Ownership(Unit) Ownership
	// Sizes returns the number of slots of each upstream of a unit, in a fixed
	// order. It is 0 for upstreams that are leaving.
	Sizes(Unit) []Slots
}

// OutgoingAnswer is an answer to be sent to a holder.
type OutgoingAnswer struct {
	Holder string
	Answer Answer
}

// Owner keeps the leases that this host grants.
type Owner struct {
	env      OwnerEnv
	units    map[Unit]*ownedUnit
	sessions map[string]*holderSession
	changed  map[string]*holderSession
	// recallCheckAt is the instant at which a holder may next be asked for an
	// idle slot that another one is waiting for, or 0 when there is none.
	recallCheckAt time.Duration
}

// holderSession is the state of the exchange with one holder. number identifies
// the session, asked is the sequence number of the last ask that was applied, and
// sequence is that of the last answer.
type holderSession struct {
	holder   string
	number   uint64
	asked    uint64
	sequence uint64
	// expires is the instant at which all grants of the session end unless an
	// ask renews them.
	expires time.Duration
	shares  map[Unit]*share
	// unconfirmed lists the shares whose state the holder has not confirmed.
	unconfirmed []*share
}

// NewOwner returns an Owner that has granted nothing.
func NewOwner(env OwnerEnv) *Owner {
	o := &Owner{env: env}
	o.Reset()
	return o
}

// Reset revokes every grant. The caller must ensure that OwnerEnv then reports
// a wait of at least MaxTerm for every unit that this host owns.
func (o *Owner) Reset() {
	o.units = make(map[Unit]*ownedUnit)
	o.sessions = make(map[string]*holderSession)
	o.changed = make(map[string]*holderSession)
}

// Granted returns the total number of slots granted and the number of holders.
func (o *Owner) Granted() (slots, holders int) {
	for _, u := range o.units {
		for _, used := range u.used {
			slots += used
		}
	}
	return slots, len(o.sessions)
}

// GrantedByUpstream returns the number of slots of a unit that are granted on
// each upstream.
func (o *Owner) GrantedByUpstream(unit Unit) []Slots {
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

// Receive applies an ask. It ignores duplicated and outdated asks. An ask of an
// unknown session that is not fresh, or one beyond maxSessions, makes the holder
// start a new session.
func (o *Owner) Receive(now time.Duration, holder string, ask Ask) {
	s := o.sessions[holder]
	if s != nil && (ask.Session < s.number || ask.Session == s.number && ask.Sequence <= s.asked) {
		return
	}
	if s != nil && ask.Session > s.number {
		o.endSession(now, s)
		s = nil
	}
	if s == nil {
		s = &holderSession{holder: holder, number: ask.Session, shares: make(map[Unit]*share)}
		if !ask.Fresh || len(o.sessions) >= maxSessions {
			o.changed[holder] = s
			return
		}
		o.sessions[holder] = s
	}
	s.asked = ask.Sequence
	s.expires = now + MaxTerm
	o.changed[holder] = s
	s.confirm(ask.Seen)
	for _, unitAsk := range ask.Units[:min(len(ask.Units), maxUnitsPerAsk)] {
		o.apply(now, s, unitAsk)
	}
}

// confirm records that the holder has received the answers up to the given
// sequence number, and removes the shares that are empty and confirmed.
func (s *holderSession) confirm(seen uint64) {
	s.unconfirmed = slices.DeleteFunc(s.unconfirmed, func(sh *share) bool {
		if sh.firstSentIn == 0 || sh.firstSentIn > seen {
			return false
		}
		sh.unconfirmed = false
		if sh.empty() {
			sh.owned.remove(sh)
			if s.shares[sh.owned.unit] == sh {
				delete(s.shares, sh.owned.unit)
			}
		}
		return true
	})
}

// apply applies the part of an ask that concerns one unit.
func (o *Owner) apply(now time.Duration, s *holderSession, ask UnitAsk) {
	ownership := o.env.Ownership(ask.Unit)
	sh := o.share(s, ask.Unit, ownership.Owned)
	if sh == nil {
		return
	}
	seen := !sh.unconfirmed
	sh.markUnconfirmed()
	if !ownership.Owned {
		o.refuse(now, sh, 0)
		return
	}
	sh.refused, sh.wait = ownership.Wait > 0, ownership.Wait
	sh.applyClaims(ask.Claims)
	sh.wanted, sh.spare, sh.except = max(0, ask.Wanted), max(0, ask.Spare), ask.Except
	sh.idleSlots, sh.tied = max(0, ask.Idle), max(0, ask.Tied)
	o.finishRecall(now, sh, seen)
	if ownership.Wait > 0 {
		return
	}
	sh.owned.updateQueues(sh)
	o.distribute(now, sh.owned)
}

// finishRecall ends a recall that the holder has complied with. It also ends a
// recall of idle slots that the holder has seen but has no idle slots for.
func (o *Owner) finishRecall(now time.Duration, sh *share, seen bool) {
	switch {
	case !sh.recall:
	case sh.total <= sh.keep:
		sh.endRecall()
	case sh.idleOnly && seen:
		sh.endRecall()
		sh.busyUntil = now + busyPeriod
	}
}

// share returns the share of a holder in a unit, and creates it if necessary.
// The share of a unit that another host owns is not entered into the table of
// units and only carries the refusal.
func (o *Owner) share(s *holderSession, unit Unit, owned bool) *share {
	u := o.units[unit]
	if sh := s.shares[unit]; sh != nil && (!owned || sh.owned == u) {
		return sh
	}
	if u == nil {
		u = &ownedUnit{unit: unit, shares: make(map[string]*share)}
		if owned {
			if len(o.units) >= maxUnits {
				return nil
			}
			u.resize(o.env.Sizes(unit))
			o.units[unit] = u
		}
	}
	sh := &share{session: s, owned: u, granted: make([]int, len(u.sizes))}
	s.shares[unit] = sh
	u.shares[s.holder] = sh
	return sh
}

// refuse revokes the grants of a share because this host does not own the unit.
func (o *Owner) refuse(now time.Duration, sh *share, wait time.Duration) {
	for i := range sh.granted {
		sh.setGranted(i, 0)
	}
	sh.wanted, sh.spare = 0, 0
	sh.endRecall()
	sh.refused, sh.wait = true, wait
	sh.markUnconfirmed()
	sh.owned.leaveQueues(sh)
	o.changed[sh.session.holder] = sh.session
}

// setListed adds a share to a list or removes it.
func setListed(list []*share, sh *share, listed bool) []*share {
	i := slices.Index(list, sh)
	switch {
	case listed && i < 0:
		return append(list, sh)
	case !listed && i >= 0:
		return slices.Delete(list, i, i+1)
	}
	return list
}

// mayRecall reports whether a slot may move from source to requester, which
// moves the shares towards equality. A difference of one slot is left alone,
// since moving a slot would only swap the two, but a holder without any slot
// gets its turn.
func mayRecall(now time.Duration, source, requester *share) bool {
	if source.size() >= requester.size()+2 {
		return true
	}
	return requester.size() == 0 && source.size() == 1 && now-source.lastGrant >= minTurn
}

// NextRecallCheck returns the instant at which CheckRecalls can continue with a
// recall, and whether a recall is waiting for it.
func (o *Owner) NextRecallCheck() (at time.Duration, ok bool) {
	return o.recallCheckAt, o.recallCheckAt != 0
}

// Tick ends the sessions that were not renewed and continues with recalls.
func (o *Owner) Tick(now time.Duration) {
	for _, holder := range slices.Sorted(maps.Keys(o.sessions)) {
		if s := o.sessions[holder]; now >= s.expires {
			o.endSession(now, s)
		}
	}
	for unit, u := range o.units {
		if len(u.shares) == 0 {
			delete(o.units, unit)
		}
	}
	o.recallCheckAt = now
	o.CheckRecalls(now)
}

// CheckRecalls continues with the recalls that are due. It returns at once when
// none is due.
func (o *Owner) CheckRecalls(now time.Duration) {
	if o.recallCheckAt == 0 || now < o.recallCheckAt {
		return
	}
	o.recallCheckAt = 0
	var waiting []Unit
	for unit, u := range o.units {
		if len(u.waitQueue) > 0 {
			waiting = append(waiting, unit)
		}
	}
	slices.SortFunc(waiting, compareUnits)
	for _, unit := range waiting {
		o.distribute(now, o.units[unit])
	}
}

func compareUnits(a, b Unit) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region), compareLong(a.Long, b.Long))
}

func compareLong(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// endSession removes a session with all of its grants.
func (o *Owner) endSession(now time.Duration, s *holderSession) {
	delete(o.sessions, s.holder)
	delete(o.changed, s.holder)
	for _, unit := range slices.SortedFunc(maps.Keys(s.shares), compareUnits) {
		sh := s.shares[unit]
		for i := range sh.granted {
			sh.setGranted(i, 0)
		}
		sh.owned.remove(sh)
		if o.units[unit] == sh.owned {
			o.distribute(now, sh.owned)
		}
	}
}

// OwnershipChanged drops the units that this host no longer owns and refuses
// them to their holders.
func (o *Owner) OwnershipChanged(now time.Duration) {
	for _, unit := range slices.SortedFunc(maps.Keys(o.units), compareUnits) {
		if o.env.Ownership(unit).Owned {
			continue
		}
		u := o.units[unit]
		delete(o.units, unit)
		for _, holder := range slices.Sorted(maps.Keys(u.shares)) {
			o.refuse(now, u.shares[holder], 0)
		}
	}
}

// SizesChanged applies changed upstreams, slots and leaving marks of a unit.
// Slots granted beyond a new size are revoked.
func (o *Owner) SizesChanged(now time.Duration, unit Unit) {
	u := o.units[unit]
	if u == nil {
		return
	}
	sizes := o.env.Sizes(unit)
	if slices.Equal(sizes, u.sizes) {
		return
	}
	u.resize(sizes)
	for _, sh := range u.shares {
		o.changed[sh.session.holder] = sh.session
	}
	o.distribute(now, u)
}

// Answers returns the answers that are due, ordered by holder.
func (o *Owner) Answers() []OutgoingAnswer {
	if len(o.changed) == 0 {
		return nil
	}
	answers := make([]OutgoingAnswer, 0, len(o.changed))
	for _, holder := range slices.Sorted(maps.Keys(o.changed)) {
		s := o.changed[holder]
		answers = append(answers, OutgoingAnswer{Holder: holder, Answer: s.answer(o.sessions[holder] != s)})
	}
	clear(o.changed)
	return answers
}

// answer returns the next answer to the holder, with all shares that it has not
// confirmed. For an unknown session it asks the holder to start a new one.
func (s *holderSession) answer(unknown bool) Answer {
	if unknown {
		return Answer{Session: s.number, Restart: true}
	}
	s.sequence++
	answer := Answer{Session: s.number, Asked: s.asked, Sequence: s.sequence, For: MaxTerm}
	for _, sh := range s.unconfirmed {
		if sh.firstSentIn == 0 {
			sh.firstSentIn = s.sequence
		}
		answer.Units = append(answer.Units, sh.answer())
	}
	return answer
}
