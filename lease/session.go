package lease

import (
	"slices"
	"time"
)

// OutgoingAsk is an ask to be sent to an owner.
type OutgoingAsk struct {
	Owner string
	Ask   Ask
}

// ownerSession is the state of the exchange with one owner.
type ownerSession struct {
	owner  string
	number uint64
	// sequence is the number of the last ask, and confirmed is that of the last
	// ask that the owner is known to have applied. seen is the number of the last
	// answer.
	sequence  uint64
	seen      uint64
	confirmed uint64
	// fresh is set until the first answer of the session has been received.
	fresh bool
	// expires is the instant at which the leases of the session end, and nextAsk
	// is the instant of the next renewal.
	expires time.Duration
	nextAsk time.Duration
	// sent holds the instants at which the last asks were sent, the latest last.
	sent     []time.Duration
	holdings []*Holding
}

// attach adds a unit to the session with its owner, and starts that session if
// there is none. It does nothing before nextAsk or while there is no owner.
func (h *Holder) attach(now time.Duration, holding *Holding) {
	owner := h.env.Owner(holding.Unit)
	if owner == "" || now < holding.nextAsk {
		return
	}
	s := h.sessions[owner]
	if s == nil {
		s = &ownerSession{owner: owner}
		h.sessions[owner] = s
		h.restartSession(s)
	}
	holding.session = s
	holding.invalidateAnswers()
	s.holdings = append(s.holdings, holding)
}

// detach removes a unit from the session with its owner. Its leases stay valid
// until they expire.
func (h *Holder) detach(holding *Holding) {
	s := holding.session
	if s == nil {
		return
	}
	holding.session = nil
	holding.priorLeasesEnd = s.expires
	s.holdings = slices.DeleteFunc(s.holdings, func(other *Holding) bool { return other == holding })
}

// restartSession starts a new session, in which all state is sent again.
func (h *Holder) restartSession(s *ownerSession) {
	h.lastSession++
	*s = ownerSession{owner: s.owner, number: h.lastSession, fresh: true, nextAsk: s.nextAsk, holdings: s.holdings}
	for _, holding := range s.holdings {
		h.endLeases(holding)
		holding.invalidateAnswers()
	}
}

func (h *Holder) enqueue(holding *Holding) {
	if !holding.queued {
		holding.queued = true
		h.askQueue = append(h.askQueue, holding)
	}
}

// Receive applies an answer. It ignores duplicated and outdated answers.
func (h *Holder) Receive(now time.Duration, owner string, answer Answer) {
	s := h.sessions[owner]
	if s == nil || answer.Session != s.number {
		return
	}
	if answer.Restart {
		h.restartSession(s)
		s.nextAsk = now
		return
	}
	if answer.Sequence <= s.seen || answer.Asked > s.sequence {
		return
	}
	s.seen = answer.Sequence
	s.confirmed = max(s.confirmed, answer.Asked)
	s.fresh = false
	expired := s.expires
	if sent, ok := s.sentAt(answer.Asked); ok {
		s.expires = max(s.expires, sent+min(answer.For, MaxTerm))
	}
	for _, unit := range answer.Units {
		holding := h.holdings[unit.Unit]
		if holding != nil && holding.session == s {
			h.apply(now, holding, unit, answer.Asked, expired)
		}
	}
}

// sentAt returns the instant at which an ask was sent, and whether it is still
// remembered.
func (s *ownerSession) sentAt(sequence uint64) (time.Duration, bool) {
	age := int(s.sequence - sequence)
	if age >= len(s.sent) {
		return 0, false
	}
	return s.sent[len(s.sent)-1-age], true
}

// checkSession handles a session whose leases have expired: it removes a session
// without units, and restarts any other.
func (h *Holder) checkSession(now time.Duration, s *ownerSession) {
	if len(s.holdings) == 0 {
		if now >= s.expires {
			delete(h.sessions, s.owner)
		}
		return
	}
	if !s.fresh && now >= s.expires {
		h.restartSession(s)
	}
}

// AsksPending reports whether asks may become due before the next tick.
func (h *Holder) AsksPending() bool { return len(h.askQueue) > 0 }

// NextAsk returns the instant at which the next queued ask is due, and whether
// there is one.
func (h *Holder) NextAsk() (at time.Duration, ok bool) {
	for _, holding := range h.askQueue {
		if holding.session == nil {
			continue
		}
		if due := holding.mayAskAt(); !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}

// Asks returns the asks that are due, ordered by owner. It includes renewals
// only if renew is set; the callers set it on ticks.
func (h *Holder) Asks(now time.Duration, renew bool) []OutgoingAsk {
	var owners []string
	add := func(owner string) {
		if !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
	}
	waiting := h.askQueue[:0]
	for _, holding := range h.askQueue {
		switch {
		case holding.session == nil:
			holding.queued = false
		case !holding.mayAsk(now):
			waiting = append(waiting, holding)
		default:
			holding.queued = false
			add(holding.session.owner)
		}
	}
	h.askQueue = waiting
	if renew {
		for owner, s := range h.sessions {
			if len(s.holdings) > 0 && now >= s.nextAsk {
				add(owner)
			}
		}
	}
	slices.Sort(owners)
	asks := make([]OutgoingAsk, 0, len(owners))
	for _, owner := range owners {
		asks = append(asks, OutgoingAsk{Owner: owner, Ask: h.sessions[owner].ask(now, h.env)})
	}
	return asks
}

// ask returns an ask with all state that the owner has not confirmed.
func (s *ownerSession) ask(now time.Duration, env HolderEnv) Ask {
	s.sequence++
	s.nextAsk = now + RenewInterval
	if len(s.sent) >= maxSentTimes {
		s.sent = slices.Delete(s.sent, 0, 1)
	}
	s.sent = append(s.sent, now)
	ask := Ask{Session: s.number, Sequence: s.sequence, Seen: s.seen, Fresh: s.fresh}
	for _, holding := range s.holdings {
		if holding.confirmed() || !holding.mayAsk(now) || len(ask.Units) >= maxUnitsPerAsk {
			continue
		}
		holding.unsent = false
		holding.nextAsk = now + minAskInterval
		holding.lastAsk = s.sequence
		holding.askedAt = now
		env.Refresh(holding)
		ask.Units = append(ask.Units, holding.ask())
	}
	return ask
}

// Renew returns an ask that renews the leases of an owner if the renewal is due
// soon. It is sent along with an answer to the same host, which saves a
// message.
func (h *Holder) Renew(now time.Duration, owner string) (Ask, bool) {
	s := h.sessions[owner]
	if s == nil || len(s.holdings) == 0 || now < s.nextAsk-RenewInterval/2 {
		return Ask{}, false
	}
	return s.ask(now, h.env), true
}
