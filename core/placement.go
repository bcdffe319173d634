package core

import (
	"cmp"
	"time"

	"wisteriapond/config"
	"wisteriapond/outcome"
	"wisteriapond/pick"
)

// TransferPrices sets the price of bytes that leave a failure domain, in
// thousandths of the worth of one request per megabyte.
type TransferPrices struct {
	// BetweenDomains is charged for every byte between failure domains,
	// BetweenRegions in addition for every byte between regions.
	BetweenDomains int
	BetweenRegions int
}

const (
	// Assumed round-trip times, from the one-way delays between failure domains
	// (1 to 1.5 ms) and regions (12 ms) that operators state.
	domainRoundTrip = 3 * time.Millisecond
	regionRoundTrip = 26 * time.Millisecond
	// initialServiceTime is the assumed service time before one has been
	// observed.
	initialServiceTime = 100 * time.Millisecond
	// defaultGoal is the latency goal of a route that sets none.
	defaultGoal = time.Second
	// lateWorth is the worth of a response after the latency goal, and fullWorth
	// that of a response well within it, in thousandths.
	lateWorth = 100
	fullWorth = 1000
	// warmUpFactor is the factor by which an upstream is slower while it warms
	// up.
	warmUpFactor = 2
	// Assumed sizes of a response in bytes before one has been observed.
	defaultResponseBytes      = 8 << 10
	defaultLargeResponseBytes = 128 << 10
	megabyte                  = 1 << 20
	// assumedSlowdown is the slowdown, in percent, of an upstream without a
	// fresh report: some upstreams have noisy co-tenants at any time.
	assumedSlowdown = 150
	// slowdownWait is the time within which most slowdowns by noisy co-tenants
	// end, or an upstream without one has a free slot.
	slowdownWait = 150 * time.Millisecond
	// queueRecheckInterval is the interval at which a queue is checked while
	// other hosts use the same upstreams: their requests end without an event
	// here.
	queueRecheckInterval = 20 * time.Millisecond
)

// placeRouted returns the upstream on which a routed request has the highest worth:
// the expected worth of its response, less the price of its bytes. It returns
// nil if the request should wait. usable is false if no upstream can take the
// request, even after a wait.
func (s *State) placeRouted(r *request) (chosen *upstream, usable bool) {
	for _, exclude := range []exclusions{{tried: true, ejected: true, unresponsive: true, failing: true}, {}} {
		minPrice, eligible := s.lowestPrice(r, exclude)
		if eligible && !r.idempotent && s.confirming() {
			return nil, true
		}
		if eligible {
			return s.bestUpstream(r, exclude, minPrice), true
		}
	}
	return nil, false
}

// excluded reports whether an upstream is left out of a decision.
func (s *State) excluded(r *request, u *upstream, exclude exclusions) bool {
	return u.leaving || exclude.ejected && u.health.Ejected() || exclude.tried && r.hasTried(u) ||
		exclude.unresponsive && u.unresponsive(s.now) || exclude.failing && s.now.Before(u.avoidUntil)
}

// lowestPrice returns the lowest price of the bytes of a request among the
// upstreams that are not excluded, and whether there are any.
func (s *State) lowestPrice(r *request, exclude exclusions) (price int, eligible bool) {
	for _, u := range r.group.eligible {
		if s.excluded(r, u, exclude) {
			continue
		}
		if candidate := s.priceOf(r, u); !eligible || candidate < price {
			price = candidate
		}
		eligible = true
	}
	return price, eligible
}

// bestUpstream returns the best upstream that can start a request now, or nil
// if waiting for another one is better.
func (s *State) bestUpstream(r *request, exclude exclusions, minPrice int) *upstream {
	var best *upstream
	r.expected, r.bestWorth = 0, 0
	maxReportAge := s.maxReportAge(r)
	onTime, remaining := s.canMeetGoal(r), r.goalAt().Sub(s.now)
	for _, u := range r.group.eligible {
		if s.excluded(r, u, exclude) || !s.mayStart(u) || s.atCapacity(r, u) || maxReportAge > 0 && !u.reported.youngerThan(maxReportAge, s.now) {
			continue
		}
		latency, price := s.expectedLatency(r, u), s.priceOf(r, u)
		if onTime && latency > remaining {
			// Waiting for a slot that meets the goal is worth more.
			continue
		}
		if s.shouldWaitOutSlowdown(r, latency, remaining) {
			continue
		}
		worth := s.worthOf(r, latency) - price
		if price > minPrice && worth < lateWorth-minPrice {
			// A late response from the cheapest upstream is worth more.
			continue
		}
		if best == nil || worth > r.bestWorth || worth == r.bestWorth && latency < r.expected {
			best, r.bestWorth, r.expected = u, worth, latency
		}
	}
	return best
}

// shouldWaitOutSlowdown reports whether a request should wait until the slowdown
// of an upstream ends, at most slowdownWait from its arrival. A request keeps the
// speed at which it started, and occupies its slot for as long as it runs.
func (s *State) shouldWaitOutSlowdown(r *request, latency, remaining time.Duration) bool {
	later := r.service.serviceTime() + slowdownWait
	return s.now.Sub(r.arrivedAt) < slowdownWait && later < latency && later < remaining
}

// maxReportAge returns the age up to which the load report of an upstream allows
// to start a request there, or 0 if no report is needed. While some untried upstream
// has a recent report, only such upstreams are used: with many hosts, a slot that
// was free some milliseconds ago is most likely taken. Otherwise upstreams without
// any fresh report get no requests, as long as there are others: they might never
// respond to a request that they cannot queue.
func (s *State) maxReportAge(r *request) time.Duration {
	if r.service.config.Probe.Path == "" {
		return 0
	}
	recent := recentReportAge
	if r.queriedBelow > pick.OtherRegion {
		// Reports from the own region arrived before those from others.
		recent += farQueryWait
	}
	for _, age := range []time.Duration{recent, reportLifetime} {
		for _, u := range r.group.eligible {
			if u.reported.youngerThan(age, s.now) && !r.hasTried(u) {
				return age
			}
		}
	}
	return 0
}

// atCapacity reports whether this host starts no further request like r on an
// upstream now. Requests wait on this host, from which they can still go to the upstream
// that has a free slot first. A request that cannot meet its goal leaves one slot
// free for others. Each request needs a connection besides its slot.
func (s *State) atCapacity(r *request, u *upstream) bool {
	limit := u.config.Slots
	if !s.canMeetGoal(r) {
		limit = u.config.Slots - 1
	}
	return u.occupied(s.now) >= limit || s.connectionsTaken(u)
}

// goalAt returns the instant up to which a response meets the latency goal.
func (r *request) goalAt() Instant {
	if r.route.Goal > 0 {
		return r.arrivedAt.Add(r.route.Goal)
	}
	return r.arrivedAt.Add(defaultGoal)
}

// canMeetGoal reports whether a response can arrive by the goal if the request
// starts now.
func (s *State) canMeetGoal(r *request) bool { return s.canMeetGoalAfter(r, 0) }

// canMeetGoalAfter reports whether a response can arrive by the goal if the
// request starts after the given wait.
func (s *State) canMeetGoalAfter(r *request, wait time.Duration) bool {
	return !r.goalAt().Before(s.now.Add(wait + r.service.serviceTime()))
}

// expectedLatency estimates the time until the response of an upstream is
// complete.
func (s *State) expectedLatency(r *request, u *upstream) time.Duration {
	serviceTime := r.service.serviceTime()
	serviceTime = serviceTime * time.Duration(u.slowdown(s.now, assumedSlowdown)) / normalSlowdown
	if s.now.Before(u.warmUpUntil) {
		serviceTime *= warmUpFactor
	}
	slots := u.config.Slots
	occupied := u.occupied(s.now)
	expected := serviceTime
	if occupied >= slots {
		expected += serviceTime * time.Duration(occupied+1-slots) / time.Duration(slots)
	} else {
		// A busy upstream is slower, and more likely to be taken by another host.
		expected += serviceTime * time.Duration(occupied) / time.Duration(8*slots)
	}
	// A random part keeps hosts with the same information from all choosing the
	// same upstream.
	expected += time.Duration(s.random.intN(int(serviceTime/16) + 1))
	return expected + roundTrip(u)
}

// roundTrip returns the assumed round-trip time to an upstream.
func roundTrip(u *upstream) time.Duration {
	switch u.locality {
	case pick.OtherRegion:
		return regionRoundTrip
	case pick.SameRegion:
		return domainRoundTrip
	}
	return 0
}

// serviceTime returns the usual service time of a request on an upstream of
// usual speed, initialServiceTime before one has been observed.
func (svc *service) serviceTime() time.Duration {
	if observed := svc.serviceTimes.Value(); observed > 0 {
		return observed
	}
	return initialServiceTime
}

// observeServiceTime records the service time of a successful request. The time
// is scaled to the usual speed with the slowdown that the upstream had reported
// when the request was placed.
func (s *State) observeServiceTime(r *request, facts outcome.Facts) {
	if r.route == nil || facts.Status >= minErrorStatus || len(r.records) == 0 {
		return
	}
	svc := r.service
	if svc.serviceTimes.Value() == 0 {
		svc.serviceTimes.Add(initialServiceTime)
	}
	slowdown := normalSlowdown
	if last := &r.records[len(r.records)-1]; last.report.Known && last.reportAge < reportLifetime {
		if last.occupied >= last.report.Slots {
			// Its time includes a wait for a slot.
			return
		}
		slowdown = cmp.Or(last.report.Slowdown, normalSlowdown)
	}
	svc.serviceTimes.Add(s.now.Sub(r.startedAt) * normalSlowdown / time.Duration(slowdown))
}

// worthOf returns the worth of a response that is expected after the given time,
// in thousandths. Latencies vary, so the worth declines gradually, from fullWorth
// at half of the time that remains until the goal to lateWorth at twice that
// time. A response after the deadline has no worth.
func (s *State) worthOf(r *request, expected time.Duration) int {
	remaining := r.goalAt().Sub(s.now)
	untilDeadline := r.deadline.Sub(s.now)
	switch {
	case expected >= untilDeadline:
		return 0
	case remaining <= 0:
		return lateWorth
	case expected <= remaining/2:
		return fullWorth
	case expected >= 2*remaining:
		return lateWorth
	}
	span := 2*remaining - remaining/2
	return lateWorth + int((fullWorth-lateWorth)*(2*remaining-expected)/span)
}

// priceOf returns the price of the bytes of a request on an upstream.
func (s *State) priceOf(r *request, u *upstream) int { return s.priceFrom(r, u.locality) }

// priceFrom returns the price of the bytes of a request on an upstream of the
// given locality.
func (s *State) priceFrom(r *request, locality pick.Locality) int {
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
	return int((r.expectedResponseBytes() + max(0, r.bodyBytes)) * int64(perMegabyte) / megabyte)
}

// expectedResponseBytes returns the usual size of the responses to requests with
// the Repeat value of r.
func (r *request) expectedResponseBytes() int64 {
	size := r.service.responseSizes[r.route.Repeat]
	switch {
	case size > 0:
		return size
	case r.route.Repeat == config.IdempotentLarge:
		return defaultLargeResponseBytes
	}
	return defaultResponseBytes
}

// sizeSmoothing is the inverse weight of a new value in the moving average of
// response sizes.
const sizeSmoothing = 16

// observeResponseSize adds the size of a response, in bytes, to the moving average
// that expectedResponseBytes returns.
func (r *request) observeResponseSize(bytes int64) {
	if r.route == nil || bytes <= 0 {
		return
	}
	size := &r.service.responseSizes[r.route.Repeat]
	if *size == 0 {
		*size = bytes
	}
	*size += (bytes - *size) / sizeSmoothing
}
