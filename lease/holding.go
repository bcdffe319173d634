package lease

import (
	"time"
)

// Slot is an upstream as its holder uses it. Use.Refresh sets Size and Running;
// the holder sets Held.
type Slot struct {
	Upstream string
	// Size is the number of slots of the upstream, 0 when it is leaving.
	Size int
	// Running is the number of requests that this host runs there.
	Running int
	// Held is the number of requests that the leases allow it to run there.
	Held int
}

// Holding is a unit as its holder uses it.
type Holding struct {
	Unit  Unit
	Slots []*Slot
	// Tied is the number of slots that long requests use.
	Tied int
	// Leased says that Held counts. Otherwise the host relies on its own
	// counts.
	Leased bool

	link   *link
	wanted int
	spare  int
	// wantedSince is the instant since which slots are wanted.
	wantedSince time.Duration
	// dirty is set when there is something to say, askedIn is the sequence
	// number of the last ask that named the unit.
	dirty    bool
	askedIn  uint64
	askedAt  time.Duration
	nextAsk  time.Duration
	queued   bool
	settling bool
	// formerUntil is the end of leases granted by an earlier owner. They count
	// until then, since the next owner waits that long.
	formerUntil time.Duration
	peak        int
	peakBefore  int
	peakUntil   time.Duration
}

func (holding *Holding) slot(upstream string) *Slot {
	for _, slot := range holding.Slots {
		if slot.Upstream == upstream {
			return slot
		}
	}
	return nil
}

// SlotWait returns the time for which slots that were asked for have not come.
func (holding *Holding) SlotWait(now time.Duration) time.Duration {
	if holding.wanted == 0 {
		return 0
	}
	return now - holding.wantedSince
}

// renew makes the next ask name the unit, and lets no earlier answer count.
func (holding *Holding) renew() {
	holding.askedIn = holding.link.sequence + 1
	holding.askedAt = 0
	holding.dirty = true
}

// open reports whether the unit may be named in an ask. One ask at a time is
// under way for a unit, since a later one voids the answer to it.
func (holding *Holding) open(now time.Duration) bool {
	return now >= holding.opensAt()
}

func (holding *Holding) opensAt() time.Duration {
	if holding.askedAt == 0 || holding.askedIn <= holding.link.answered {
		return holding.nextAsk
	}
	return max(holding.nextAsk, holding.askedAt+repeatAfter)
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

// idle is the number of slots held that no request uses.
func (holding *Holding) idle() int {
	sum := 0
	for _, slot := range holding.Slots {
		sum += max(0, slot.Held-slot.Running)
	}
	return sum
}

func (holding *Holding) excess() int {
	sum := 0
	for _, slot := range holding.Slots {
		sum += max(0, slot.Running-slot.Held)
	}
	return sum
}

// formerExpired reports whether leases that an earlier owner granted have expired.
func (holding *Holding) formerExpired(now time.Duration) bool {
	return holding.Leased && holding.formerUntil > 0 && now >= holding.formerUntil
}

// observe remembers the highest use of the last one to two windows.
func (holding *Holding) observe(now time.Duration) {
	if now >= holding.peakUntil {
		holding.peakBefore = holding.peak
		if now >= holding.peakUntil+window {
			holding.peakBefore = 0
		}
		holding.peak = 0
		holding.peakUntil = now + window
	}
	holding.peak = max(holding.peak, holding.running()+holding.wanted)
}

// target is the standing share: the highest recent use and one spare slot, so
// that the next request finds a slot held.
func (holding *Holding) target() int {
	highest := max(holding.peak, holding.peakBefore)
	if highest == 0 {
		return 0
	}
	return highest + 1
}

// confirmed reports whether the owner knows all that there is to say.
func (holding *Holding) confirmed() bool {
	return !holding.dirty && holding.askedIn <= holding.link.answered
}

func (holding *Holding) ask() UnitAsk {
	ask := UnitAsk{Unit: holding.Unit, Wanted: holding.wanted, Spare: holding.spare, Idle: holding.idle(), Tied: holding.Tied}
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
