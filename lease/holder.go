package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// window is the time over which the highest use of a unit is remembered.
	// Slots beyond it are given back.
	window = 5 * time.Second
	// askSpacing is the least time between two asks for one unit.
	askSpacing = 5 * time.Millisecond
	// repeatAfter is the time after which an unanswered ask is repeated. It is
	// several round trips between regions.
	repeatAfter = 200 * time.Millisecond
	// scanTicks is the number of ticks over which all units are looked at.
	scanTicks = 4
	// sentLimit bounds the remembered times of asks.
	sentLimit = 16
)

// HolderEnv tells a holder what it needs about units.
type HolderEnv interface {
	// Owner names the host that owns a unit by this host's view, empty when
	// this host is alone.
	Owner(Unit) string
	// Refresh sets Size and Running of the unit's slots, and Tied.
	Refresh(*Holding)
}

// Holder is what this host holds from all owners.
type Holder struct {
	use      HolderEnv
	session  uint64
	links    map[string]*link
	holdings map[Unit]*Holding
	order    []*Holding
	turn     int
	queue    []*Holding
	settling []*Holding
	changed  []*Holding
	stopping bool
}

// NewHolder returns a holder without leases. The incarnation of the host keeps
// its sessions apart from those of earlier runs.
func NewHolder(incarnation uint64, use HolderEnv) *Holder {
	return &Holder{
		use:      use,
		session:  incarnation,
		links:    make(map[string]*link),
		holdings: make(map[Unit]*Holding),
	}
}

// SetUnit adds a unit or replaces its upstreams. Leases on upstreams that stay
// are kept.
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

// RemoveUnit forgets a unit.
func (h *Holder) RemoveUnit(unit Unit) {
	holding := h.holdings[unit]
	if holding == nil {
		return
	}
	h.detach(holding)
	h.lapse(holding)
	delete(h.holdings, unit)
	h.order = slices.DeleteFunc(h.order, func(other *Holding) bool { return other == holding })
	h.settling = slices.DeleteFunc(h.settling, func(other *Holding) bool { return other == holding })
}

// SizesChanged takes over changed sizes and leaving marks of a unit's upstreams.
func (h *Holder) SizesChanged(holding *Holding) {
	h.use.Refresh(holding)
	for _, slot := range holding.Slots {
		slot.Held = min(slot.Held, slot.Size)
	}
	h.note(holding)
	if holding.link != nil {
		holding.dirty = true
		h.enqueue(holding)
	}
}

func compareHolding(holding *Holding, unit Unit) int { return compareUnits(holding.Unit, unit) }

// Holding returns a unit, or nil.
func (h *Holder) Holding(unit Unit) *Holding { return h.holdings[unit] }

// Totals returns the slots held, the units leased and the units in use that
// rely on own counts.
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

func (h *Holder) note(holding *Holding) {
	if !slices.Contains(h.changed, holding) {
		h.changed = append(h.changed, holding)
	}
}

// SetWanted asks for further slots for the given number of requests that wait. With
// a lower number than before it takes back what is not needed any more: the
// owner would otherwise take this host for one that has no slot to spare.
func (h *Holder) SetWanted(now time.Duration, holding *Holding, waiting int) {
	h.use.Refresh(holding)
	limit := 0
	for _, slot := range holding.Slots {
		limit += max(0, slot.Size-slot.Held)
	}
	if wanted := min(waiting, limit); wanted != holding.wanted {
		if holding.wanted == 0 {
			holding.wantedSince = now
		}
		holding.wanted = wanted
		holding.dirty = true
	}
	h.touch(now, holding)
}

// ClearWanted withdraws the request for further slots, since no request waits.
func (h *Holder) ClearWanted(now time.Duration, holding *Holding) {
	if holding.wanted > 0 {
		h.SetWanted(now, holding, 0)
	}
}

// EnsureLeased makes sure that a unit in use is leased.
func (h *Holder) EnsureLeased(now time.Duration, holding *Holding) {
	if holding.link != nil || now < holding.nextAsk {
		return
	}
	h.use.Refresh(holding)
	h.touch(now, holding)
}

func (h *Holder) touch(now time.Duration, holding *Holding) {
	holding.observe(now)
	if holding.link == nil {
		h.attach(now, holding)
	}
	if holding.link == nil {
		return
	}
	holding.spare = max(0, holding.target()-max(holding.held(), holding.running())-holding.wanted)
	if holding.dirty {
		h.enqueue(holding)
	}
}

// lapse ends the leases of a unit. The host falls back to its own counts.
func (h *Holder) lapse(holding *Holding) {
	if holding.Leased {
		h.note(holding)
	}
	holding.Leased = false
	holding.formerUntil = 0
	for _, slot := range holding.Slots {
		slot.Held = 0
	}
}

// Reset drops all leases after a pause of the process.
func (h *Holder) Reset() {
	for _, owner := range slices.Sorted(maps.Keys(h.links)) {
		h.restart(h.links[owner])
	}
	for _, holding := range h.order {
		h.lapse(holding)
	}
}

// Stop gives back what is not in use and asks for no spare slots any more.
func (h *Holder) Stop(now time.Duration) {
	h.stopping = true
	for _, holding := range h.order {
		if holding.link != nil {
			h.use.Refresh(holding)
			h.balance(now, holding)
		}
	}
}

func (h *Holder) apply(now time.Duration, holding *Holding, answer UnitAnswer, asked uint64, expired time.Duration) {
	if answer.Refused {
		h.refused(now, holding, answer.Wait, expired)
		return
	}
	// The owner may have lowered its grant since: an ask that it had not seen
	// when it answered may have given slots back.
	if asked < holding.askedIn {
		return
	}
	before := holding.held()
	holding.formerUntil = 0
	holding.Leased = now < holding.link.expires
	for _, slot := range holding.Slots {
		slot.Held = min(countOf(answer.Grants, slot.Upstream), slot.Size)
	}
	got := holding.held() - before
	if got > 0 {
		holding.wanted = max(0, holding.wanted-got)
	}
	if answer.Recall {
		h.recalled(holding, answer)
	}
	h.note(holding)
}

// refused takes note that the owner grants nothing. What it granted before
// counts until it would have expired without this answer, since any other
// owner waits that long. The unit is asked for again after the wait.
func (h *Holder) refused(now time.Duration, holding *Holding, wait, expired time.Duration) {
	if wait > 0 {
		holding.nextAsk = now + wait
		holding.dirty = true
		h.enqueue(holding)
	} else {
		holding.nextAsk = now + RenewInterval
		h.detach(holding)
		holding.formerUntil = expired
	}
	if now >= holding.formerUntil {
		h.lapse(holding)
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

// recalled gives slots back as the owner asked. It answers a recall of idle
// slots even when there are none, so that the owner asks someone else.
func (h *Holder) recalled(holding *Holding, answer UnitAnswer) {
	h.use.Refresh(holding)
	count := holding.held() - answer.Keep
	if !answer.IdleOnly {
		h.giveBack(holding, count)
		return
	}
	holding.dirty = true
	h.giveBack(holding, min(count, holding.idle()))
}

// giveBack lowers what is held, unused slots first. A slot in use is claimed
// until its request ends, and not used again.
func (h *Holder) giveBack(holding *Holding, count int) {
	for _, idleOnly := range []bool{true, false} {
		for _, slot := range slices.Backward(holding.Slots) {
			for count > 0 && slot.Held > 0 && (!idleOnly || slot.Held > slot.Running) {
				slot.Held--
				count--
				holding.dirty = true
			}
		}
	}
	if !holding.dirty {
		return
	}
	h.note(holding)
	h.enqueue(holding)
	h.watch(holding)
}

// watch follows a unit that uses more slots than it holds, so that its owner
// hears at once when one becomes free.
func (h *Holder) watch(holding *Holding) {
	if !holding.settling && holding.excess() > 0 {
		holding.settling = true
		h.settling = append(h.settling, holding)
	}
}

// CheckOveruse notices that units which use more slots than they hold use fewer than
// before. It costs nothing when there are none.
func (h *Holder) CheckOveruse() {
	if len(h.settling) == 0 {
		return
	}
	h.settling = slices.DeleteFunc(h.settling, func(holding *Holding) bool {
		before := holding.excess()
		h.use.Refresh(holding)
		after := holding.excess()
		if after < before && holding.link != nil {
			holding.dirty = true
			h.enqueue(holding)
		}
		holding.settling = after > 0
		return after == 0
	})
}

// Tick looks at a part of the units: it gives back idle slots, asks for
// standing ones, follows changes of owners and ends leases that expired.
func (h *Holder) Tick(now time.Duration) {
	for _, owner := range slices.Sorted(maps.Keys(h.links)) {
		h.checkLink(now, h.links[owner])
	}
	for _, holding := range h.due() {
		h.check(now, holding)
	}
	h.turn++
}

// due returns the units that this tick looks at.
func (h *Holder) due() []*Holding {
	size := (len(h.order) + scanTicks - 1) / scanTicks
	first := min(h.turn%scanTicks*size, len(h.order))
	return h.order[first:min(first+size, len(h.order))]
}

func (h *Holder) check(now time.Duration, holding *Holding) {
	h.use.Refresh(holding)
	holding.observe(now)
	owner := h.use.Owner(holding.Unit)
	if holding.link != nil && holding.link.owner != owner {
		h.detach(holding)
	}
	if holding.formerExpired(now) {
		h.lapse(holding)
	}
	if holding.link == nil {
		if holding.target() > 0 && now >= holding.nextAsk {
			h.touch(now, holding)
		}
		return
	}
	h.balance(now, holding)
	if holding.target() == 0 && holding.held() == 0 && holding.running() == 0 && holding.confirmed() {
		h.detach(holding)
		h.lapse(holding)
	}
}

func (h *Holder) balance(now time.Duration, holding *Holding) {
	target := holding.target()
	if h.stopping {
		target = holding.running() + holding.wanted
	}
	held := holding.held()
	spare := max(0, target-max(held, holding.running())-holding.wanted)
	if spare != holding.spare {
		holding.spare = spare
		holding.dirty = true
	}
	if surplus := held - max(target, holding.running()); surplus > 0 {
		h.giveBack(holding, surplus)
	}
	h.watch(holding)
	if holding.dirty {
		h.enqueue(holding)
	}
}
