package core

import (
	"slices"
	"strings"
	"time"

	"wisteriapond/budget"
	"wisteriapond/config"
	"wisteriapond/health"
	"wisteriapond/pick"
	"wisteriapond/queue"
	"wisteriapond/warmup"
)

// service is the mutable state of a service. The object is kept when the
// configuration changes, so that queued requests keep their position and running
// ones their slots.
type service struct {
	config      *config.CompiledService
	upstreams   []*upstream
	health      health.Group
	retryBudget budget.Retries
	shedBudget  budget.Retries
	durations   [numRequestClasses]durationStats
	// shared reports whether long and short requests use the same upstreams.
	shared bool
	groups groupCache
	// waitingGroups are the groups with waiting requests, and waiting is the
	// number of requests in them.
	waitingGroups []*group
	waiting       int
	// timer is set to the next check of the queue.
	timer queue.Item[timerTarget]
	// responseSizes are the usual response sizes in bytes, by config.Repeat, 0
	// before the first response.
	responseSizes [numRepeatKinds]int64
	// serviceTimes tracks the service times of requests, scaled to the usual speed
	// of upstreams.
	serviceTimes health.Median
	// drainScheduled is set while the service is listed in State.scheduledDrains.
	drainScheduled bool
}

// numRequestClasses is the number of request classes: short and long.
const numRequestClasses = 2

// numRepeatKinds is the number of values of config.Repeat.
const numRepeatKinds = int(config.IdempotentLarge) + 1

// durationStats tracks the usual durations of one class of requests.
type durationStats struct {
	// response is the time until a response, or the header of a long one, has
	// been received.
	response health.Median
	// occupancy is the time for which an attempt takes a slot.
	occupancy health.Median
}

func classIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

func (svc *service) durationsFor(long bool) *durationStats {
	return &svc.durations[classIndex(long)]
}

// upstream is the mutable state of an upstream as seen by this host.
type upstream struct {
	config   *config.CompiledUpstream
	service  *service
	health   health.Upstream
	locality pick.Locality
	// running is the number of requests that this host runs on the upstream, and
	// runningLong the number of long ones among them.
	running     int
	runningLong int
	// leased reports whether a lease determines the number of slots that this
	// host may use, and held is that number. The lease holder sets both.
	leased bool
	held   int
	// longLeased and longHeld are the same for the slots of long requests.
	longLeased bool
	longHeld   int

	leaving bool
	removed bool
	// emptied is set while the operators have emptied the failure domain.
	emptied bool
	// load is the number of running requests last reported, at loadAt; -1 before
	// the first report.
	load   int
	loadAt Instant
	// reported is the load report of an upstream that reports more than one
	// number.
	reported  reportedLoad
	loadQuery loadQuery
	// warmUpUntil is the end of the warm-up time that the server registered, during
	// which it is slower.
	warmUpUntil Instant
	// warmUp is the warm-up that the server reports itself, where requests to cold
	// servers are limited; otherwise nil. spacing takes its place, during a warm-up,
	// where servers do not report it.
	warmUp  *warmup.Server
	spacing *warmup.Spacing
	// notBefore is the end of the current backoff from the upstream. No request
	// starts on it earlier.
	notBefore Instant
	// avoidUntil is the end of the time in which other upstreams are preferred, since
	// the last requests on this one failed one after the other.
	avoidUntil Instant
	// receivedLabel and sentLabel are the label values of the cross-region byte
	// counter; empty for an upstream in the region of this host.
	receivedLabel string
	sentLabel     string
}

// limit returns the number of requests that this host may run on the upstream.
// Without a lease it is half of the slots, rounded up, since other hosts use them
// as well.
func (u *upstream) limit() int {
	if u.leased {
		return u.held
	}
	return (u.config.Slots + 1) / 2
}

// longLimit returns how many long requests of this host may run on an upstream
// that is shared with short ones.
func (u *upstream) longLimit() int {
	if u.longLeased {
		return u.longHeld
	}
	return u.maxLongSlots()
}

// maxLongSlots returns the number of slots that long requests of all hosts
// together may use. One slot is reserved for short requests unless it is the only
// one.
func (u *upstream) maxLongSlots() int {
	return max(1, u.config.Slots-1)
}

// mixesClasses reports whether the service runs long and short requests on the
// same upstreams.
func (svc *service) mixesClasses() bool {
	return svc.shared && len(svc.config.LongWhen) > 0
}

// waitingLong returns the number of long requests that are waiting.
func (svc *service) waitingLong() int {
	waiting := 0
	for _, g := range svc.waitingGroups {
		if g.long {
			waiting += g.waiting.Len()
		}
	}
	return waiting
}

// currentLimit returns the number of requests that this host may run on the
// upstream now, which may be lower than limit while the upstream warms up.
func (s *State) currentLimit(svc *service, u *upstream) int {
	ramp := u.health.UsableSlots(time.Duration(s.now), u.config.Slots, svc.config.ColdStart)
	return min(u.limit(), ramp)
}

// groupLimit returns the number of requests of a group that this host may run on
// the upstream, and whether one more may start now.
func (s *State) groupLimit(g *group, u *upstream) (limit int, free bool) {
	limit = s.currentLimit(u.service, u)
	free = u.running < limit
	if g.long && u.service.shared {
		limit = min(limit, u.longLimit())
		free = free && u.runningLong < limit
	}
	return limit, free
}

// idleLongSlots returns the number of further long requests that this host may
// start by the limits of their class.
func (svc *service) idleLongSlots() int {
	idle := 0
	for _, u := range svc.upstreams {
		idle += max(0, u.longLimit()-u.runningLong)
	}
	return idle
}

// updateServices carries the state of services and upstreams over to the table in
// force. Requests in flight keep a reference to the upstream that they use.
func (s *State) updateServices() {
	first := len(s.services) == 0
	services := make(map[string]*service, len(s.table.Services()))
	for _, compiled := range s.table.Services() {
		svc := s.services[compiled.Name]
		if svc == nil {
			svc = &service{}
			svc.timer.Value.service = svc
		}
		services[compiled.Name] = svc
	}
	s.removeServices(services)
	s.services = services
	for _, compiled := range s.table.Services() {
		s.updateService(services[compiled.Name], compiled, first)
	}
	s.updateEmptied()
}

// removeServices removes the services that are not kept, and refuses their waiting
// requests.
func (s *State) removeServices(kept map[string]*service) {
	for _, name := range sortedKeys(s.services) {
		svc := s.services[name]
		if kept[name] != nil {
			continue
		}
		for _, u := range svc.upstreams {
			s.removeUpstream(u)
		}
		svc.upstreams = nil
		svc.groups.clear()
		s.refuseWaiting(svc, s.refusalForRemovedService())
	}
}

// updateService applies the configuration of a service. first is set for the first
// configuration of this host.
func (s *State) updateService(svc *service, compiled *config.CompiledService, first bool) {
	if svc.config == compiled {
		return
	}
	old := make(map[string]*upstream, len(svc.upstreams))
	for _, u := range svc.upstreams {
		old[u.config.Name] = u
	}
	noWarmUp := first || svc.config == nil
	svc.config = compiled
	svc.shared = !alwaysLong(compiled)
	svc.upstreams = nil
	for _, u := range compiled.Upstreams {
		svc.upstreams = append(svc.upstreams, s.updateUpstream(svc, old, u, noWarmUp))
		delete(old, u.Name)
	}
	for _, name := range sortedKeys(old) {
		s.removeUpstream(old[name])
	}
	members := make([]*health.Upstream, 0, len(svc.upstreams))
	for _, u := range svc.upstreams {
		members = append(members, &u.health)
	}
	svc.health.SetMembers(members)
	s.updateWarmUp(svc)
	svc.updateGroups()
	s.scheduleDrain(svc)
}

// alwaysLong reports whether every request of the service is long. Its upstreams
// then reserve no slot for short requests.
func alwaysLong(compiled *config.CompiledService) bool {
	return slices.ContainsFunc(compiled.LongWhen, func(selector string) bool {
		return strings.TrimSpace(selector) == ""
	})
}

// updateUpstream returns the state of an upstream, which is kept unless its address
// or host has changed. The warm-up time of a registered server is the one that it
// registered. Any other upstream that is added to a running service warms up.
// Those of a new service or of the first configuration do not, since a restart of
// this host is no sign that they have just started.
func (s *State) updateUpstream(svc *service, old map[string]*upstream, compiled *config.CompiledUpstream, noWarmUp bool) *upstream {
	u := old[compiled.Name]
	if u != nil && u.config.Address == compiled.Address && u.config.Host == compiled.Host {
		u.config = compiled
		s.setLocality(u)
		return u
	}
	if u != nil {
		s.removeUpstream(u)
	}
	u = &upstream{config: compiled, service: svc, load: -1, leaving: s.leaving(compiled.Host)}
	s.setLocality(u)
	s.restoreHold(u)
	if s.table.Routed() {
		u.warmUpUntil = s.now.Add(s.registry.servers[compiled.Name].ColdFor)
	} else if !noWarmUp {
		u.health.StartWarmUp(time.Duration(s.now))
	}
	s.upstreamsOf[compiled.Host] = append(s.upstreamsOf[compiled.Host], u)
	return u
}

// setLocality sets the locality of an upstream and the label values of its
// cross-region traffic.
func (s *State) setLocality(u *upstream) {
	own, other := s.self.Region, u.config.Region
	u.sentLabel, u.receivedLabel = "", ""
	switch {
	case other != own:
		u.locality = pick.OtherRegion
		u.sentLabel = own + ">" + other
		u.receivedLabel = other + ">" + own
	case u.config.FailureDomain != s.self.FailureDomain:
		u.locality = pick.SameRegion
	default:
		u.locality = pick.SameDomain
	}
}

// removeUpstream marks an upstream as removed. With a store, its idle connections
// are closed.
func (s *State) removeUpstream(u *upstream) {
	u.removed = true
	s.keepHold(u)
	if s.self.Registry != nil {
		s.out.add(CloseIdle{Address: u.config.Address})
	}
	host := u.config.Host
	rest := slices.DeleteFunc(s.upstreamsOf[host], func(other *upstream) bool { return other == u })
	if len(rest) == 0 {
		delete(s.upstreamsOf, host)
		return
	}
	s.upstreamsOf[host] = rest
}

// applyLeavingMark applies the leaving mark of a host to its upstreams. Waiting
// requests go to other hosts, and a host that is no longer leaving warms up again.
func (s *State) applyLeavingMark(host string) {
	leaving := s.leaving(host)
	for _, u := range s.upstreamsOf[host] {
		if u.leaving == leaving {
			continue
		}
		u.leaving = leaving
		if !leaving {
			u.health.StartWarmUp(time.Duration(s.now))
		}
		s.scheduleDrain(u.service)
	}
}
