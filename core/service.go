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
)

// service is the changing state of a service. It stays the same object when
// its configuration changes, so that requests in flight keep their place.
type service struct {
	config    *config.CompiledService
	upstreams []*upstream
	health    health.Group
	retries   budget.Retries
	sheds     budget.Retries
	usual     [requestClasses]usualTimes
	// shared says that long and short requests use the same upstreams.
	shared bool
	groups groupCache
	// waitingGroups are the groups with waiting requests, and waiting is the
	// number of requests in them.
	waitingGroups []*group
	waiting       int
	alarm         queue.Item[timer]
	// sizes are the usual sizes of answers in bytes, by kind of request.
	sizes [repeatKinds]int64
	// worked is the usual time that a request runs at the usual speed.
	worked health.Median
	// drainDue is set while the service is listed in State.drains.
	drainDue bool
}

// requestClasses is the number of classes of requests, short and long.
const requestClasses = 2

// repeatKinds is the number of kinds of requests that a route can name.
const repeatKinds = int(config.RepeatableLarge) + 1

// usualTimes follows the usual durations of one class of requests.
type usualTimes struct {
	// respond is the time until the answer, or the head of a long one, is in.
	respond health.Median
	// occupy is the time for which a slot is taken.
	occupy health.Median
}

func classIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

func (svc *service) usualFor(long bool) *usualTimes {
	return &svc.usual[classIndex(long)]
}

// upstream is the changing state of an upstream as this host sees it.
type upstream struct {
	config   *config.CompiledUpstream
	service  *service
	health   health.Upstream
	locality pick.Locality
	// running counts the requests of this host, and long those of them that
	// are long.
	running int
	long    int
	// leased says that the number of slots this host may use is held slots of
	// a lease. Both are set by the holder of the leases.
	leased bool
	held   int
	// longLeased and longHeld say the same of long requests.
	longLeased bool
	longHeld   int

	leaving bool
	removed bool
	// load is the last reported load, known since loadAt.
	load   int
	loadAt Instant
	// told is the whole report, for upstreams that tell more than one number.
	told     toldLoad
	question question
	// coldUntil is the end of the time for which the upstream is slow after its
	// start.
	coldUntil Instant
	// notBefore is the end of the wait that the backend server asked for.
	notBefore Instant
	// received and sent are the labels of the counter of bytes that crossed
	// regions; empty in the own region.
	received string
	sent     string
}

// limit returns the number of requests that this host may run on the upstream
// now. Without a lease it is half of the slots, rounded up: other hosts use
// them as well.
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
	return u.slotsForLong()
}

// slotsForLong is the number of slots that long requests of all hosts together
// may use: one stays free of them. An upstream with a single slot has none to
// spare.
func (u *upstream) slotsForLong() int {
	return max(1, u.config.Slots-1)
}

// mixed reports whether the service has long and short requests on the same
// upstreams.
func (svc *service) mixed() bool {
	return svc.shared && len(svc.config.LongWhen) > 0
}

// waitingLong is the number of long requests that wait.
func (svc *service) waitingLong() int {
	waiting := 0
	for _, g := range svc.waitingGroups {
		if g.long {
			waiting += g.waiting.Len()
		}
	}
	return waiting
}

// allowed is the limit while the upstream warms up.
func (s *State) allowed(svc *service, u *upstream) int {
	ramp := u.health.UsableSlots(time.Duration(s.now), u.config.Slots, svc.config.ColdStart)
	return min(u.limit(), ramp)
}

// room returns how many requests of a group the upstream may run for this host,
// and whether one more may start now.
func (s *State) room(g *group, u *upstream) (limit int, free bool) {
	limit = s.allowed(u.service, u)
	free = u.running < limit
	if g.long && u.service.shared {
		limit = min(limit, u.longLimit())
		free = free && u.long < limit
	}
	return limit, free
}

// idleForLong is the number of long requests that the slots of their class
// would allow this host to start.
func (svc *service) idleForLong() int {
	idle := 0
	for _, u := range svc.upstreams {
		idle += max(0, u.longLimit()-u.long)
	}
	return idle
}

// updateServices carries the state of services and upstreams over to the
// table in force. Requests in flight keep pointing at the upstream they use.
func (s *State) updateServices() {
	first := len(s.services) == 0
	services := make(map[string]*service, len(s.table.Services()))
	for _, compiled := range s.table.Services() {
		svc := s.services[compiled.Name]
		if svc == nil {
			svc = &service{}
			svc.alarm.Value.service = svc
		}
		services[compiled.Name] = svc
	}
	s.removeServices(services)
	s.services = services
	for _, compiled := range s.table.Services() {
		s.updateService(services[compiled.Name], compiled, first)
	}
}

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
		s.refuseWaiting(svc, s.refusalWithout())
	}
}

func (s *State) updateService(svc *service, compiled *config.CompiledService, first bool) {
	if svc.config == compiled {
		return
	}
	old := make(map[string]*upstream, len(svc.upstreams))
	for _, u := range svc.upstreams {
		old[u.config.Name] = u
	}
	warm := first || svc.config == nil
	svc.config = compiled
	svc.shared = !alwaysLong(compiled)
	svc.upstreams = nil
	for _, u := range compiled.Upstreams {
		svc.upstreams = append(svc.upstreams, s.updateUpstream(svc, old, u, warm))
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
	svc.regroup()
	s.drainLater(svc)
}

// alwaysLong reports whether every request of the service is long. Its
// upstreams then need no slot for short ones.
func alwaysLong(compiled *config.CompiledService) bool {
	return slices.ContainsFunc(compiled.LongWhen, func(selector string) bool {
		return strings.TrimSpace(selector) == ""
	})
}

// updateUpstream returns the state of an upstream. One that was added to a
// running service starts cold. Those of the first configuration do not: a
// restart of this host says nothing about them.
func (s *State) updateUpstream(svc *service, old map[string]*upstream, compiled *config.CompiledUpstream, warm bool) *upstream {
	u := old[compiled.Name]
	if u != nil && u.config.Address == compiled.Address && u.config.Host == compiled.Host {
		u.config = compiled
		s.locate(u)
		return u
	}
	if u != nil {
		s.removeUpstream(u)
	}
	u = &upstream{config: compiled, service: svc, load: -1, leaving: s.leaving(compiled.Host)}
	s.locate(u)
	if s.table.Routed() {
		u.coldUntil = s.now.Add(s.registry.servers[compiled.Name].ColdFor)
	} else if !warm {
		u.health.StartWarmUp(time.Duration(s.now))
	}
	s.upstreamsOf[compiled.Host] = append(s.upstreamsOf[compiled.Host], u)
	return u
}

func (s *State) locate(u *upstream) {
	own, other := s.self.Region, u.config.Region
	u.sent, u.received = "", ""
	switch {
	case other != own:
		u.locality = pick.OtherRegion
		u.sent = own + ">" + other
		u.received = other + ">" + own
	case u.config.FailureDomain != s.self.FailureDomain:
		u.locality = pick.SameRegion
	default:
		u.locality = pick.SameDomain
	}
}

func (s *State) removeUpstream(u *upstream) {
	u.removed = true
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

// hostChanged takes over the leaving mark of a host. Requests that waited for
// it go elsewhere, and a host that came back starts cold.
func (s *State) hostChanged(host string) {
	leaving := s.leaving(host)
	for _, u := range s.upstreamsOf[host] {
		if u.leaving == leaving {
			continue
		}
		u.leaving = leaving
		if !leaving {
			u.health.StartWarmUp(time.Duration(s.now))
		}
		s.drainLater(u.service)
	}
}
