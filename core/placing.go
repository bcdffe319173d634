package core

import (
	"cmp"
	"time"

	"wisteriapond/config"
	"wisteriapond/outcome"
	"wisteriapond/pick"
)

// TransferPrices says what bytes cost that leave a failure domain, in
// thousandths of the worth of one request per megabyte.
type TransferPrices struct {
	// BetweenDomains is charged for every byte from another failure domain,
	// BetweenRegions in addition for one from another region.
	BetweenDomains int
	BetweenRegions int
}

const (
	// Round trips before anything is measured, from the delays between failure
	// domains and regions that operators state (1 to 1.5 ms and 12 ms one way).
	domainRoundTrip = 3 * time.Millisecond
	regionRoundTrip = 26 * time.Millisecond
	// firstWork is the time that a request is taken to run before one has been
	// observed.
	firstWork = 100 * time.Millisecond
	// defaultGoal stands in for a route without a latency goal.
	defaultGoal = time.Second
	// lateWorth is what an answer after its goal is worth, in thousandths.
	lateWorth = 100
	fullWorth = 1000
	// coldFactor is how many times slower an upstream is while it is cold.
	coldFactor = 2
	// usualBytes is the size of an answer before one was observed.
	usualBytes = 8 << 10
	usualLarge = 128 << 10
	megabyte   = 1 << 20
	// meanSlowdown is the slowdown in percent of an upstream that told nothing
	// lately: some of its neighbours are noisy at any time.
	meanSlowdown = 150
	// slowdownPasses is the time within which most slowdowns by noisy neighbours
	// pass, or an upstream without one has a free slot.
	slowdownPasses = 150 * time.Millisecond
	// lookAgain is the time after which a queue is looked at again while other
	// hosts use the same upstreams: their requests end without an event here.
	lookAgain = 20 * time.Millisecond
)

// place returns the upstream on which a routed request is worth most: the
// chance of an answer within its goal, less the price of its bytes.
func (s *State) place(r *request) (chosen *upstream, usable bool) {
	for _, without := range []exclusions{{tried: true, ejected: true, unresponsive: true}, {}} {
		cheapest, any := s.cheapest(r, without)
		if any && !r.idempotent && s.confirming() {
			return nil, true
		}
		if any {
			return s.mostWorth(r, without, cheapest), true
		}
	}
	return nil, false
}

// excluded reports whether a decision leaves an upstream out.
func (s *State) excluded(r *request, u *upstream, without exclusions) bool {
	return u.leaving || without.ejected && u.health.Ejected() || without.tried && r.hasTried(u) ||
		without.unresponsive && u.silent(s.now)
}

// cheapest returns the lowest price of the bytes of a request, and whether any
// upstream may take it.
func (s *State) cheapest(r *request, without exclusions) (price int, any bool) {
	for _, u := range r.group.eligible {
		if s.excluded(r, u, without) {
			continue
		}
		if at := s.priceOf(r, u); !any || at < price {
			price = at
		}
		any = true
	}
	return price, any
}

// mostWorth returns the best upstream that can take a request now, or nil when
// waiting for another one is better.
func (s *State) mostWorth(r *request, without exclusions, cheapest int) *upstream {
	var best *upstream
	r.expected, r.bestValue = 0, 0
	known := s.anyFresh(r)
	inTime, left := s.inTime(r), r.goalAt().Sub(s.now)
	for _, u := range r.group.eligible {
		if s.excluded(r, u, without) || s.now.Before(u.notBefore) || s.full(r, u) || known && !u.reported.fresh(s.now) {
			continue
		}
		took, price := s.expectedOn(r, u), s.priceOf(r, u)
		if inTime && took > left {
			// Waiting for a slot that is in time is worth more.
			continue
		}
		if s.mayPass(r, took, left) {
			continue
		}
		worth := s.worthOf(r, took) - price
		if price > cheapest && worth < lateWorth-cheapest {
			// A late answer from nearby is worth more.
			continue
		}
		if best == nil || worth > r.bestValue || worth == r.bestValue && took < r.expected {
			best, r.bestValue, r.expected = u, worth, took
		}
	}
	return best
}

// mayPass reports whether a request waits for the slowdown of an upstream to
// pass: a request runs as slowly as it began, and holds its slot for as long.
func (s *State) mayPass(r *request, took, left time.Duration) bool {
	soon := r.service.work() + slowdownPasses
	return s.now.Sub(r.arrivedAt) < slowdownPasses && soon < took && soon < left
}

// anyFresh reports whether the load of any upstream is known. Others then get
// nothing unasked: what they cannot queue they may never answer.
func (s *State) anyFresh(r *request) bool {
	if r.service.config.Probe.Path == "" {
		return false
	}
	for _, u := range r.group.eligible {
		if u.reported.fresh(s.now) && !r.hasTried(u) {
			return true
		}
	}
	return false
}

// full reports whether an upstream gets no further request like r from this
// host now. Requests wait here, where they can still go to the upstream that is
// free first. What cannot be in time takes spare slots only.
func (s *State) full(r *request, u *upstream) bool {
	limit := u.config.Slots
	if !s.inTime(r) {
		limit = u.config.Slots - 1
	}
	return u.occupied(s.now) >= limit
}

// goalAt is the instant up to which an answer is worth most.
func (r *request) goalAt() Instant {
	if r.route.Goal > 0 {
		return r.arrivedAt.Add(r.route.Goal)
	}
	return r.arrivedAt.Add(defaultGoal)
}

// inTime reports whether an answer can be in by the goal if the request starts
// now.
func (s *State) inTime(r *request) bool {
	return !r.goalAt().Before(s.now.Add(r.service.work()))
}

// expectedOn estimates the time until the answer of an upstream is in.
func (s *State) expectedOn(r *request, u *upstream) time.Duration {
	work := r.service.work()
	work = work * time.Duration(u.slowdown(s.now, meanSlowdown)) / usualSlowdown
	if s.now.Before(u.warmUpUntil) {
		work *= coldFactor
	}
	slots := u.config.Slots
	occupied := u.occupied(s.now)
	expected := work
	if occupied >= slots {
		expected += work * time.Duration(occupied+1-slots) / time.Duration(slots)
	} else {
		// A busy upstream is slower, and likelier to be taken by another host.
		expected += work * time.Duration(occupied) / time.Duration(8*slots)
	}
	// The draw keeps hosts that know the same from all choosing the same.
	expected += time.Duration(s.random.intN(int(work/16) + 1))
	return expected + roundTrip(u)
}

func roundTrip(u *upstream) time.Duration {
	switch u.locality {
	case pick.OtherRegion:
		return regionRoundTrip
	case pick.SameRegion:
		return domainRoundTrip
	}
	return 0
}

// work is the usual time that a request runs on an upstream of usual speed.
func (svc *service) work() time.Duration {
	if usual := svc.workTime.Value(); usual > 0 {
		return usual
	}
	return firstWork
}

// noteWork takes the time of a request that was served. It is brought to the
// usual speed by what the upstream told when the request was placed.
func (s *State) noteWork(r *request, facts outcome.Facts) {
	if r.route == nil || facts.Status >= minErrorStatus || len(r.records) == 0 {
		return
	}
	svc := r.service
	if svc.workTime.Value() == 0 {
		svc.workTime.Add(firstWork)
	}
	slowdown := usualSlowdown
	if last := &r.records[len(r.records)-1]; last.report.Known && last.reportAge < toldLife {
		if last.occupied >= last.report.Slots {
			// It waited for a slot.
			return
		}
		slowdown = cmp.Or(last.report.Slowdown, usualSlowdown)
	}
	svc.workTime.Add(s.now.Sub(r.startedAt) * usualSlowdown / time.Duration(slowdown))
}

// worthOf is what an answer after the expected time is worth, in thousandths.
// Times vary, so that the worth falls from half of the goal on.
func (s *State) worthOf(r *request, expected time.Duration) int {
	left := r.goalAt().Sub(s.now)
	deadline := r.deadline.Sub(s.now)
	switch {
	case expected >= deadline:
		return 0
	case left <= 0:
		return lateWorth
	case expected <= left/2:
		return fullWorth
	case expected >= 2*left:
		return lateWorth
	}
	span := 2*left - left/2
	return lateWorth + int((fullWorth-lateWorth)*(2*left-expected)/span)
}

// priceOf is the price of the bytes of a request on an upstream.
func (s *State) priceOf(r *request, u *upstream) int { return s.priceAt(r, u.locality) }

func (s *State) priceAt(r *request, locality pick.Locality) int {
	prices := &s.self.Registry.Transfer
	perMegabyte := 0
	switch locality {
	case pick.OtherRegion:
		perMegabyte = prices.BetweenDomains + prices.BetweenRegions
	case pick.SameRegion:
		perMegabyte = prices.BetweenDomains
	}
	if perMegabyte == 0 {
		return 0
	}
	return int((r.answerBytes() + max(0, r.bodyBytes)) * int64(perMegabyte) / megabyte)
}

// answerBytes is the usual size of the answers to requests like r.
func (r *request) answerBytes() int64 {
	size := r.service.responseSizes[r.route.Repeat]
	switch {
	case size > 0:
		return size
	case r.route.Repeat == config.RepeatableLarge:
		return usualLarge
	}
	return usualBytes
}

// sizeWeight is the inverse weight of a new value in the moving average of
// answer sizes.
const sizeWeight = 16

// noteSize takes the size of an answer.
func (r *request) noteSize(bytes int64) {
	if r.route == nil || bytes <= 0 {
		return
	}
	size := &r.service.responseSizes[r.route.Repeat]
	if *size == 0 {
		*size = bytes
	}
	*size += (bytes - *size) / sizeWeight
}
