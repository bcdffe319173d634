package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// peakWindow is the time over which the peak use of a unit is tracked.
	// Slots beyond the peak and one spare slot are given back.
	peakWindow = 5 * time.Second
	// minAskInterval is the minimum time between two asks for the same unit.
	minAskInterval = 5 * time.Millisecond
	// askRetryAfter is the time after which an unanswered ask is sent again. It
	// is several round trips between regions.
	askRetryAfter = 200 * time.Millisecond
	// scanTicks is the number of ticks over which a scan of all units is
	// spread.
	scanTicks = 4
	// maxSentTimes bounds the number of remembered send times of asks.
	maxSentTimes = 16
)

// HolderEnv provides a Holder with the owners and the current use of units.
type HolderEnv interface {
	// Owner returns the name of the host that owns a unit in this host's view,
	// or an empty string when this host is alone.
	Owner(Unit) string
	// Refresh sets Size and Running of the unit's slots, and Tied.
	Refresh(*Holding)
}

// Holder tracks the slots that all owners have granted to this host, and asks
// the owners for the slots that it needs.
type Holder struct {
	env         HolderEnv
	lastSession uint64
	sessions    map[string]*ownerSession
	holdings    map[Unit]*Holding
	order       []*Holding
	ticks       int
	askQueue    []*Holding
	overused    []*Holding
	changed     []*Holding
	stopping    bool
}

// NewHolder returns a holder without leases. The incarnation of the host
// distinguishes its sessions from those of earlier runs.
func NewHolder(incarnation uint64, env HolderEnv) *Holder {
	return &Holder{
		env:         env,
		lastSession: incarnation,
		sessions:    make(map[string]*ownerSession),
		holdings:    make(map[Unit]*Holding),
	}
}

// SetUnit adds a unit or replaces its upstreams. Leases on upstreams that
// remain are kept.
func (h *Holder) SetUnit(unit Unit, upstreams []string) *Holding {
	holding := h.holdings[unit]
	if holding == nil {
		holding = &Holding{Unit: unit}
		h.holdings[unit] = holding
		i, _ := slices.BinarySearchFunc(h.order, unit, compareHolding)
		h.order = slices.Insert(h.order, i, holding)
	}
	slots := make([]*Slot, 0, len(upstreams))
	for _, upstream := range upstreams {
		slot := holding.slot(upstream)
		if slot == nil {
			slot = &Slot{Upstream: upstream}
		}
		slots = append(slots, slot)
	}
	holding.Slots = slots
	h.SizesChanged(holding)
	return holding
}

// RemoveUnit removes a unit and ends its leases.
func (h *Holder) RemoveUnit(unit Unit) {
	holding := h.holdings[unit]
	if holding == nil {
		return
	}
	h.detach(holding)
	h.endLeases(holding)
	delete(h.holdings, unit)
	h.order = slices.DeleteFunc(h.order, func(other *Holding) bool { return other == holding })
	h.overused = slices.DeleteFunc(h.overused, func(other *Holding) bool { return other == holding })
}

// SizesChanged applies changed sizes and leaving marks of a unit's upstreams.
func (h *Holder) SizesChanged(holding *Holding) {
	h.env.Refresh(holding)
	for _, slot := range holding.Slots {
		slot.Held = min(slot.Held, slot.Size)
	}
	h.markChanged(holding)
	if holding.session != nil {
		holding.unsent = true
		h.enqueue(holding)
	}
}

func compareHolding(holding *Holding, unit Unit) int { return compareUnits(holding.Unit, unit) }

// Holding returns the state of a unit, or nil if the unit is unknown.
func (h *Holder) Holding(unit Unit) *Holding { return h.holdings[unit] }

// Totals returns the number of slots held, of units leased, and of units that
// are in use without a lease and therefore rely on this host's own counts.
func (h *Holder) Totals() (slots, leased, fallback int) {
	for _, holding := range h.order {
		slots += holding.held()
		switch {
		case holding.Leased:
			leased++
		case holding.running() > 0:
			fallback++
		}
	}
	return slots, leased, fallback
}

// Changed returns the units whose Held or Leased changed since the last call.
func (h *Holder) Changed() []*Holding {
	changed := h.changed
	h.changed = nil
	return changed
}

func (h *Holder) markChanged(holding *Holding) {
	if !slices.Contains(h.changed, holding) {
		h.changed = append(h.changed, holding)
	}
}

// SetWanted asks for additional slots for the given number of waiting requests.
// A lower number than before withdraws what is no longer needed; otherwise the
// owner would assume that this host has no slot to spare.
func (h *Holder) SetWanted(now time.Duration, holding *Holding, waiting int) {
	h.env.Refresh(holding)
	limit := 0
	for _, slot := range holding.Slots {
		limit += max(0, slot.Size-slot.Held)
	}
	if wanted := min(waiting, limit); wanted != holding.wanted {
		if holding.wanted == 0 {
			holding.wantedSince = now
		}
		holding.wanted = wanted
		holding.unsent = true
	}
	h.prepareAsk(now, holding)
}

// ClearWanted withdraws the request for additional slots when no request is
// waiting any more.
func (h *Holder) ClearWanted(now time.Duration, holding *Holding) {
	if holding.wanted > 0 {
		h.SetWanted(now, holding, 0)
	}
}

// EnsureLeased asks the owner for a lease on a unit in use that is not attached
// to an owner yet.
func (h *Holder) EnsureLeased(now time.Duration, holding *Holding) {
	if holding.session != nil || now < holding.nextAsk {
		return
	}
	h.env.Refresh(holding)
	h.prepareAsk(now, holding)
}

// prepareAsk attaches the unit to its owner if necessary, updates the number of
// spare slots and queues an ask if there is anything to send.
func (h *Holder) prepareAsk(now time.Duration, holding *Holding) {
	holding.observe(now)
	if holding.session == nil {
		h.attach(now, holding)
	}
	if holding.session == nil {
		return
	}
	holding.spare = max(0, holding.targetShare()-max(holding.held(), holding.running())-holding.wanted)
	if holding.unsent {
		h.enqueue(holding)
	}
}

// endLeases ends the leases of a unit. The host then relies on its own counts.
func (h *Holder) endLeases(holding *Holding) {
	if holding.Leased {
		h.markChanged(holding)
	}
	holding.Leased = false
	holding.priorLeasesEnd = 0
	for _, slot := range holding.Slots {
		slot.Held = 0
	}
}

// Reset drops all leases. It is called after a pause of the process.
func (h *Holder) Reset() {
	for _, owner := range slices.Sorted(maps.Keys(h.sessions)) {
		h.restartSession(h.sessions[owner])
	}
	for _, holding := range h.order {
		h.endLeases(holding)
	}
}

// Stop gives back the slots that are not in use and stops asking for spare
// slots.
func (h *Holder) Stop(now time.Duration) {
	h.stopping = true
	for _, holding := range h.order {
		if holding.session != nil {
			h.env.Refresh(holding)
			h.balance(now, holding)
		}
	}
}

// apply applies the part of an answer that concerns one unit. asked is the last
// ask that the owner had applied, and expired is the end of the leases without
// this answer.
func (h *Holder) apply(now time.Duration, holding *Holding, answer UnitAnswer, asked uint64, expired time.Duration) {
	if answer.Refused {
		h.applyRefusal(now, holding, answer.Wait, expired)
		return
	}
	// The owner may have lowered its grant since: a later ask, which it had not
	// seen when it sent this answer, may have given slots back.
	if asked < holding.lastAsk {
		return
	}
	before := holding.held()
	holding.priorLeasesEnd = 0
	holding.Leased = now < holding.session.expires
	for _, slot := range holding.Slots {
		slot.Held = min(countOf(answer.Grants, slot.Upstream), slot.Size)
	}
	gained := holding.held() - before
	if gained > 0 {
		holding.wanted = max(0, holding.wanted-gained)
	}
	if answer.Recall {
		h.applyRecall(holding, answer)
	}
	h.markChanged(holding)
}

// applyRefusal handles an owner that grants nothing. Leases granted earlier
// stay valid until they would have expired without this answer, since any other
// owner waits that long. The unit is asked for again after the wait, or after
// RenewInterval when another host owns it.
func (h *Holder) applyRefusal(now time.Duration, holding *Holding, wait, expired time.Duration) {
	if wait > 0 {
		holding.nextAsk = now + wait
		holding.unsent = true
		h.enqueue(holding)
	} else {
		holding.nextAsk = now + RenewInterval
		h.detach(holding)
		holding.priorLeasesEnd = expired
	}
	if now >= holding.priorLeasesEnd {
		h.endLeases(holding)
	}
}

func countOf(slots []Slots, upstream string) int {
	for _, s := range slots {
		if s.Upstream == upstream {
			return s.Count
		}
	}
	return 0
}

// applyRecall gives slots back as the owner asked. A recall of idle slots gets
// a response even when there are none, so that the owner asks another holder.
func (h *Holder) applyRecall(holding *Holding, answer UnitAnswer) {
	h.env.Refresh(holding)
	count := holding.held() - answer.Keep
	if !answer.IdleOnly {
		h.release(holding, count)
		return
	}
	holding.unsent = true
	h.release(holding, min(count, holding.idleSlots()))
}

// release reduces the held slots by count, unused ones first. A slot in use
// stays claimed until its request ends and is not used again.
func (h *Holder) release(holding *Holding, count int) {
	for _, idleOnly := range []bool{true, false} {
		for _, slot := range slices.Backward(holding.Slots) {
			for count > 0 && slot.Held > 0 && (!idleOnly || slot.Held > slot.Running) {
				slot.Held--
				count--
				holding.unsent = true
			}
		}
	}
	if !holding.unsent {
		return
	}
	h.markChanged(holding)
	h.enqueue(holding)
	h.trackOveruse(holding)
}

// trackOveruse adds a unit that uses more slots than it holds to those that
// CheckOveruse checks, so that its owner learns at once when a slot becomes
// free.
func (h *Holder) trackOveruse(holding *Holding) {
	if !holding.overused && holding.overuse() > 0 {
		holding.overused = true
		h.overused = append(h.overused, holding)
	}
}

// CheckOveruse reports to the owners when units that use more slots than they
// hold use fewer than before. It returns at once when there are no such units.
func (h *Holder) CheckOveruse() {
	if len(h.overused) == 0 {
		return
	}
	h.overused = slices.DeleteFunc(h.overused, func(holding *Holding) bool {
		before := holding.overuse()
		h.env.Refresh(holding)
		after := holding.overuse()
		if after < before && holding.session != nil {
			holding.unsent = true
			h.enqueue(holding)
		}
		holding.overused = after > 0
		return after == 0
	})
}

// Tick checks the sessions and a part of the units: it gives back idle slots,
// asks for the target share, follows changes of owners and ends expired leases.
func (h *Holder) Tick(now time.Duration) {
	for _, owner := range slices.Sorted(maps.Keys(h.sessions)) {
		h.checkSession(now, h.sessions[owner])
	}
	for _, holding := range h.scanBatch() {
		h.check(now, holding)
	}
	h.ticks++
}

// scanBatch returns the units to check in this tick.
func (h *Holder) scanBatch() []*Holding {
	size := (len(h.order) + scanTicks - 1) / scanTicks
	first := min(h.ticks%scanTicks*size, len(h.order))
	return h.order[first:min(first+size, len(h.order))]
}

// check updates one unit on a tick: it follows a change of its owner, ends
// expired leases of an earlier owner, and detaches a unit that is no longer used.
func (h *Holder) check(now time.Duration, holding *Holding) {
	h.env.Refresh(holding)
	holding.observe(now)
	owner := h.env.Owner(holding.Unit)
	if holding.session != nil && holding.session.owner != owner {
		h.detach(holding)
	}
	if holding.priorLeasesExpired(now) {
		h.endLeases(holding)
	}
	if holding.session == nil {
		if holding.targetShare() > 0 && now >= holding.nextAsk {
			h.prepareAsk(now, holding)
		}
		return
	}
	h.balance(now, holding)
	if holding.targetShare() == 0 && holding.held() == 0 && holding.running() == 0 && holding.confirmed() {
		h.detach(holding)
		h.endLeases(holding)
	}
}

// balance adjusts the held slots to the target share: it asks for missing slots
// as spare ones and releases surplus slots. A stopping host keeps only the slots
// in use or wanted.
func (h *Holder) balance(now time.Duration, holding *Holding) {
	target := holding.targetShare()
	if h.stopping {
		target = holding.running() + holding.wanted
	}
	held := holding.held()
	spare := max(0, target-max(held, holding.running())-holding.wanted)
	if spare != holding.spare {
		holding.spare = spare
		holding.unsent = true
	}
	if surplus := held - max(target, holding.running()); surplus > 0 {
		h.release(holding, surplus)
	}
	h.trackOveruse(holding)
	if holding.unsent {
		h.enqueue(holding)
	}
}
