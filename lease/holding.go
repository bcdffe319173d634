package lease

import (
	"time"
)

// Slot is the state of an upstream at a holder. HolderEnv.Refresh sets Size and
// Running; the holder sets Held.
type Slot struct {
	Upstream string
	// Size is the number of slots of the upstream, or 0 when it is leaving.
	Size int
	// Running is the number of requests that this host is running on the
	// upstream.
	Running int
	// Held is the number of requests that the leases allow this host to run on
	// the upstream.
	Held int
}

// Holding is the state of a unit at a holder.
type Holding struct {
	Unit  Unit
	Slots []*Slot
	// Tied is the number of slots that long requests use.
	Tied int
	// Leased reports whether Held is valid. Otherwise the host relies on its
	// own counts.
	Leased bool

	session *ownerSession
	// wanted is the number of additional slots for waiting requests, and spare
	// the number of those to be granted only if they are free.
	wanted int
	spare  int
	// wantedSince is the instant since which slots have been wanted.
	wantedSince time.Duration
	// unsent is set when there is state to send to the owner. lastAsk is the
	// sequence number of the last ask that included the unit, sent at askedAt,
	// or that of the next ask if no earlier answer is valid.
	unsent  bool
	lastAsk uint64
	askedAt time.Duration
	// nextAsk is the earliest instant of the next ask that includes the unit.
	nextAsk time.Duration
	// queued and overused are set while the unit is in the lists askQueue and
	// overused of the holder.
	queued   bool
	overused bool
	// priorLeasesEnd is the end of the leases granted by an earlier owner. They
	// are valid until then, since the next owner waits that long.
	priorLeasesEnd time.Duration
	// peak and previousPeak are the highest numbers of slots in use or wanted in
	// the current and the previous window.
	peak          int
	previousPeak  int
	peakWindowEnd time.Duration
}

func (holding *Holding) slot(upstream string) *Slot {
	for _, slot := range holding.Slots {
		if slot.Upstream == upstream {
			return slot
		}
	}
	return nil
}

// SlotWait returns how long the wanted slots have been outstanding, or 0 if
// none are wanted.
func (holding *Holding) SlotWait(now time.Duration) time.Duration {
	if holding.wanted == 0 {
		return 0
	}
	return now - holding.wantedSince
}

// invalidateAnswers makes the next ask include the unit, and causes answers to
// earlier asks to be ignored.
func (holding *Holding) invalidateAnswers() {
	holding.lastAsk = holding.session.sequence + 1
	holding.askedAt = 0
	holding.unsent = true
}

// mayAsk reports whether an ask may include the unit. Only one ask at a time is
// in flight for a unit, since a later ask invalidates the answer to it.
func (holding *Holding) mayAsk(now time.Duration) bool {
	return now >= holding.mayAskAt()
}

// mayAskAt returns the instant from which on an ask may include the unit: nextAsk,
// or askRetryAfter after the last ask if that is later and the ask has not been
// answered.
func (holding *Holding) mayAskAt() time.Duration {
	if holding.askedAt == 0 || holding.lastAsk <= holding.session.confirmed {
		return holding.nextAsk
	}
	return max(holding.nextAsk, holding.askedAt+askRetryAfter)
}

func (holding *Holding) held() int {
	sum := 0
	for _, slot := range holding.Slots {
		sum += slot.Held
	}
	return sum
}

func (holding *Holding) running() int {
	sum := 0
	for _, slot := range holding.Slots {
		sum += slot.Running
	}
	return sum
}

// idleSlots returns the number of held slots that no request uses.
func (holding *Holding) idleSlots() int {
	sum := 0
	for _, slot := range holding.Slots {
		sum += max(0, slot.Held-slot.Running)
	}
	return sum
}

// overuse returns the number of slots in use beyond those held.
func (holding *Holding) overuse() int {
	sum := 0
	for _, slot := range holding.Slots {
		sum += max(0, slot.Running-slot.Held)
	}
	return sum
}

// priorLeasesExpired reports whether leases granted by an earlier owner have
// expired.
func (holding *Holding) priorLeasesExpired(now time.Duration) bool {
	return holding.Leased && holding.priorLeasesEnd > 0 && now >= holding.priorLeasesEnd
}

// observe records the current use. The peak covers the last one to two windows.
func (holding *Holding) observe(now time.Duration) {
	if now >= holding.peakWindowEnd {
		holding.previousPeak = holding.peak
		if now >= holding.peakWindowEnd+peakWindow {
			holding.previousPeak = 0
		}
		holding.peak = 0
		holding.peakWindowEnd = now + peakWindow
	}
	holding.peak = max(holding.peak, holding.running()+holding.wanted)
}

// targetShare returns the number of slots to hold permanently: the recent peak
// use and one spare slot, so that the next request finds a slot available.
func (holding *Holding) targetShare() int {
	highest := max(holding.peak, holding.previousPeak)
	if highest == 0 {
		return 0
	}
	return highest + 1
}

// confirmed reports whether the owner has confirmed all state of the unit.
func (holding *Holding) confirmed() bool {
	return !holding.unsent && holding.lastAsk <= holding.session.confirmed
}

func (holding *Holding) ask() UnitAsk {
	ask := UnitAsk{Unit: holding.Unit, Wanted: holding.wanted, Spare: holding.spare, Idle: holding.idleSlots(), Tied: holding.Tied}
	for _, slot := range holding.Slots {
		if claimed := max(slot.Held, slot.Running); claimed > 0 {
			ask.Claims = append(ask.Claims, Slots{Upstream: slot.Upstream, Count: claimed})
		}
		if holding.wanted > 0 && slot.Held > slot.Running {
			ask.Except = append(ask.Except, slot.Upstream)
		}
	}
	return ask
}
