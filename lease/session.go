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

// link is the conversation with one owner.
type link struct {
	owner    string
	session  uint64
	sequence uint64
	seen     uint64
	answered uint64
	fresh    bool
	expires  time.Duration
	nextAsk  time.Duration
	sent     []time.Duration
	holdings []*Holding
}

func (h *Holder) attach(now time.Duration, holding *Holding) {
	owner := h.use.Owner(holding.Unit)
	if owner == "" || now < holding.nextAsk {
		return
	}
	l := h.links[owner]
	if l == nil {
		l = &link{owner: owner}
		h.links[owner] = l
		h.restart(l)
	}
	holding.link = l
	holding.renew()
	l.holdings = append(l.holdings, holding)
}

// detach gives up the link of a unit. What it holds counts until the leases
// expire.
func (h *Holder) detach(holding *Holding) {
	l := holding.link
	if l == nil {
		return
	}
	holding.link = nil
	holding.formerUntil = l.expires
	l.holdings = slices.DeleteFunc(l.holdings, func(other *Holding) bool { return other == holding })
}

// restart begins a new session, in which everything is said again.
func (h *Holder) restart(l *link) {
	h.session++
	*l = link{owner: l.owner, session: h.session, fresh: true, nextAsk: l.nextAsk, holdings: l.holdings}
	for _, holding := range l.holdings {
		h.lapse(holding)
		holding.renew()
	}
}

func (h *Holder) enqueue(holding *Holding) {
	if !holding.queued {
		holding.queued = true
		h.queue = append(h.queue, holding)
	}
}

// Receive applies an answer.
func (h *Holder) Receive(now time.Duration, owner string, answer Answer) {
	l := h.links[owner]
	if l == nil || answer.Session != l.session {
		return
	}
	if answer.Restart {
		h.restart(l)
		l.nextAsk = now
		return
	}
	if answer.Sequence <= l.seen || answer.Asked > l.sequence {
		return
	}
	l.seen = answer.Sequence
	l.answered = max(l.answered, answer.Asked)
	l.fresh = false
	expired := l.expires
	if sent, ok := l.sentAt(answer.Asked); ok {
		l.expires = max(l.expires, sent+min(answer.For, MaxTerm))
	}
	for _, unit := range answer.Units {
		holding := h.holdings[unit.Unit]
		if holding != nil && holding.link == l {
			h.apply(now, holding, unit, answer.Asked, expired)
		}
	}
}

func (l *link) sentAt(sequence uint64) (time.Duration, bool) {
	back := int(l.sequence - sequence)
	if back >= len(l.sent) {
		return 0, false
	}
	return l.sent[len(l.sent)-1-back], true
}

func (h *Holder) checkLink(now time.Duration, l *link) {
	if len(l.holdings) == 0 {
		if now >= l.expires {
			delete(h.links, l.owner)
		}
		return
	}
	if !l.fresh && now >= l.expires {
		h.restart(l)
	}
}

// AsksPending reports whether asks may be due without a tick.
func (h *Holder) AsksPending() bool { return len(h.queue) > 0 }

// NextAsk returns the instant at which an ask that waits is to be sent.
func (h *Holder) NextAsk() (at time.Duration, waits bool) {
	for _, holding := range h.queue {
		if holding.link == nil {
			continue
		}
		if opens := holding.opensAt(); !waits || opens < at {
			at, waits = opens, true
		}
	}
	return at, waits
}

// Asks returns the asks that are due, in the order of owners. Renewals are due
// at ticks only.
func (h *Holder) Asks(now time.Duration, renew bool) []OutgoingAsk {
	var owners []string
	add := func(owner string) {
		if !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
	}
	waiting := h.queue[:0]
	for _, holding := range h.queue {
		switch {
		case holding.link == nil:
			holding.queued = false
		case !holding.open(now):
			waiting = append(waiting, holding)
		default:
			holding.queued = false
			add(holding.link.owner)
		}
	}
	h.queue = waiting
	if renew {
		for owner, l := range h.links {
			if len(l.holdings) > 0 && now >= l.nextAsk {
				add(owner)
			}
		}
	}
	slices.Sort(owners)
	asks := make([]OutgoingAsk, 0, len(owners))
	for _, owner := range owners {
		asks = append(asks, OutgoingAsk{Owner: owner, Ask: h.links[owner].ask(now, h.use)})
	}
	return asks
}

// ask says everything that the owner has not confirmed.
func (l *link) ask(now time.Duration, use HolderEnv) Ask {
	l.sequence++
	l.nextAsk = now + RenewInterval
	if len(l.sent) >= sentLimit {
		l.sent = slices.Delete(l.sent, 0, 1)
	}
	l.sent = append(l.sent, now)
	ask := Ask{Session: l.session, Sequence: l.sequence, Seen: l.seen, Fresh: l.fresh}
	for _, holding := range l.holdings {
		if holding.confirmed() || !holding.open(now) || len(ask.Units) >= maxUnitsPerAsk {
			continue
		}
		holding.dirty = false
		holding.nextAsk = now + askSpacing
		holding.askedIn = l.sequence
		holding.askedAt = now
		use.Refresh(holding)
		ask.Units = append(ask.Units, holding.ask())
	}
	return ask
}

// Renew returns an ask that renews the leases of an owner if it is due soon. It
// travels with an answer to the same host and saves a message.
func (h *Holder) Renew(now time.Duration, owner string) (Ask, bool) {
	l := h.links[owner]
	if l == nil || len(l.holdings) == 0 || now < l.nextAsk-RenewInterval/2 {
		return Ask{}, false
	}
	return l.ask(now, h.use), true
}
