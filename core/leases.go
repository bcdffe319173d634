package core

import (
	"slices"
	"time"

	"wisteriapond/lease"
)

// maxExchanges bounds the rounds of messages of this host with itself within
// one step. An ask and its answer take two.
const maxExchanges = 4

// leases is the state of slot leases: what this host grants as an owner and
// what it holds.
type leases struct {
	state  *State
	owner  *lease.Owner
	holder *lease.Holder
	units  map[lease.Unit]*leaseUnit
	// services lists the units of each service, that of the own region first.
	services map[string]*leaseService
}

type leaseService struct {
	service   *service
	upstreams []*upstream
	units     []*leaseUnit
	// turn chooses the other region that is asked next.
	turn int
}

// leaseUnit is the upstreams of one service in one region.
type leaseUnit struct {
	unit      lease.Unit
	key       uint64
	service   *service
	upstreams []*upstream
	holding   *lease.Holding
	owner     string
	ownerView uint64
}

func (l *leases) init(s *State) {
	l.state = s
	l.units = make(map[lease.Unit]*leaseUnit)
	l.services = make(map[string]*leaseService)
	l.start(s, 0)
}

func (l *leases) start(s *State, incarnation uint64) {
	l.owner = lease.NewOwner(l)
	l.holder = lease.NewHolder(incarnation, l)
}

// Owner implements lease.Use. A host that is alone relies on its own counts.
func (l *leases) Owner(unit lease.Unit) string {
	s := l.state
	if s.members.Live() == 0 {
		return ""
	}
	u := l.units[unit]
	if u == nil {
		return s.view.region(unit.Region).ownerIn(unitKey(unit))
	}
	if u.ownerView != s.view.number {
		u.ownerView = s.view.number
		u.owner = s.view.region(unit.Region).ownerIn(u.key)
	}
	return u.owner
}

// Refresh implements lease.Use.
func (l *leases) Refresh(holding *lease.Holding) {
	u := l.units[holding.Unit]
	if u == nil {
		return
	}
	for i, slot := range holding.Slots {
		slot.Running = u.upstreams[i].running
		slot.Size = l.size(u.upstreams[i])
	}
}

// size returns the slots that may be leased: none of a leaving host.
func (l *leases) size(u *upstream) int {
	if l.state.leaving(u.config.Host) {
		return 0
	}
	return u.config.Slots
}

// Duty implements lease.Facts.
func (l *leases) Duty(unit lease.Unit) lease.Duty {
	s := l.state
	region := s.view.region(unit.Region)
	if l.units[unit] == nil || region == nil || l.Owner(unit) != s.self.Host {
		return lease.Duty{}
	}
	until := region.since.Add(lease.Longest + lease.Settle)
	return lease.Duty{Mine: true, Wait: max(0, until.Sub(s.now))}
}

// Sizes implements lease.Facts.
func (l *leases) Sizes(unit lease.Unit) []lease.Slots {
	u := l.units[unit]
	if u == nil {
		return nil
	}
	sizes := make([]lease.Slots, 0, len(u.upstreams))
	for _, up := range u.upstreams {
		sizes = append(sizes, lease.Slots{Upstream: up.config.Name, Count: l.size(up)})
	}
	return sizes
}

// updateLeases takes over the services in force. Services that did not change
// cost nothing.
func (s *State) updateLeases() {
	l := &s.leases
	for _, name := range sortedKeys(l.services) {
		if s.services[name] == nil {
			l.remove(l.services[name].units)
			delete(l.services, name)
		}
	}
	for _, name := range sortedKeys(s.services) {
		svc := s.services[name]
		known := l.services[name]
		if known != nil && known.service == svc && slices.Equal(known.upstreams, svc.upstreams) {
			s.resizeService(known)
			continue
		}
		l.services[name] = s.leaseServiceOf(svc, known)
	}
}

// resizeService takes over changed numbers of slots.
func (s *State) resizeService(known *leaseService) {
	for _, u := range known.units {
		s.resizeUnit(u)
	}
}

func (s *State) resizeUnit(u *leaseUnit) {
	changed := false
	for i, slot := range u.holding.Slots {
		changed = changed || slot.Size != s.leases.size(u.upstreams[i])
	}
	if !changed {
		return
	}
	s.leases.holder.Resized(u.holding)
	s.leases.owner.SizesChanged(time.Duration(s.now), u.unit)
}

func (s *State) leaseServiceOf(svc *service, known *leaseService) *leaseService {
	l := &s.leases
	next := &leaseService{service: svc, upstreams: svc.upstreams}
	byRegion := make(map[string][]*upstream)
	for _, u := range svc.upstreams {
		byRegion[u.config.Region] = append(byRegion[u.config.Region], u)
	}
	if known != nil {
		l.remove(slices.DeleteFunc(slices.Clone(known.units), func(u *leaseUnit) bool {
			return byRegion[u.unit.Region] != nil
		}))
	}
	regions := sortedKeys(byRegion)
	if i := slices.Index(regions, s.self.Region); i > 0 {
		regions = slices.Insert(slices.Delete(regions, i, i+1), 0, s.self.Region)
	}
	for _, region := range regions {
		next.units = append(next.units, s.setLeaseUnit(svc, region, byRegion[region]))
	}
	return next
}

func (s *State) setLeaseUnit(svc *service, region string, upstreams []*upstream) *leaseUnit {
	l := &s.leases
	unit := lease.Unit{Service: svc.config.Name, Region: region}
	u := l.units[unit]
	if u == nil {
		u = &leaseUnit{unit: unit, key: unitKey(unit)}
		l.units[unit] = u
	}
	u.service, u.upstreams = svc, upstreams
	names := make([]string, 0, len(upstreams))
	for _, up := range upstreams {
		names = append(names, up.config.Name)
	}
	u.holding = l.holder.SetUnit(unit, names)
	l.owner.SizesChanged(time.Duration(s.now), unit)
	return u
}

func (l *leases) remove(units []*leaseUnit) {
	for _, u := range units {
		delete(l.units, u.unit)
		l.holder.RemoveUnit(u.unit)
		l.owner.SizesChanged(time.Duration(l.state.now), u.unit)
	}
}

// hostLeases takes over the leaving mark of a host.
func (s *State) hostLeases(host string) {
	for _, name := range sortedKeys(s.leases.services) {
		for _, u := range s.leases.services[name].units {
			if slices.ContainsFunc(u.upstreams, func(up *upstream) bool { return up.config.Host == host }) {
				s.resizeUnit(u)
			}
		}
	}
}

// wantSlots asks for slots, since a request of the service has to wait. Other
// regions are asked, one at a time, once the own region has not given a slot
// for the time that the way to another one costs.
func (s *State) wantSlots(svc *service) {
	known := s.leases.services[svc.config.Name]
	if known == nil || len(known.units) == 0 {
		return
	}
	now := time.Duration(s.now)
	waiting := max(1, svc.waiting)
	near := known.units[0]
	if near.unit.Region != s.self.Region {
		s.wantFar(known, known.units, waiting)
		return
	}
	unmet := near.holding.Unmet(now)
	s.leases.holder.Want(now, near.holding, waiting)
	if unmet >= farAfter && len(known.units) > 1 {
		s.wantFar(known, known.units[1:], waiting)
	}
}

// slotsUnwanted takes the wish for slots back once no request of the service
// waits any more.
func (s *State) slotsUnwanted(svc *service) {
	known := s.leases.services[svc.config.Name]
	if known == nil {
		return
	}
	for _, u := range known.units {
		s.leases.holder.Unwant(time.Duration(s.now), u.holding)
	}
}

// farAfter is the extra round trip to another region: twice the one-way delay
// of 12 ms.
const farAfter = 24 * time.Millisecond

func (s *State) wantFar(known *leaseService, units []*leaseUnit, waiting int) {
	u := units[known.turn%len(units)]
	known.turn++
	s.leases.holder.Want(time.Duration(s.now), u.holding, waiting)
}

// useLeases makes sure that the own region's unit of a service in use is
// leased, without waiting for the next look at it.
func (s *State) useLeases(id RequestID) {
	r := s.requests[id]
	if r == nil || s.members.Live() == 0 {
		return
	}
	known := s.leases.services[r.service.config.Name]
	if known != nil && len(known.units) > 0 && known.units[0].unit.Region == s.self.Region {
		s.leases.holder.Touch(time.Duration(s.now), known.units[0].holding)
	}
}

func (s *State) leaseMessage(e PeerMessage) {
	now := time.Duration(s.now)
	if e.Message.Ask != nil {
		s.leases.owner.Receive(now, e.From, *e.Message.Ask)
	}
	if e.Message.Answer != nil {
		s.leases.holder.Receive(now, e.From, *e.Message.Answer)
	}
}

func (s *State) tickLeases() {
	now := time.Duration(s.now)
	s.leases.holder.Tick(now)
	s.leases.owner.Tick(now)
	s.sendAsks(true)
}

// settleLeases sends what a step made due and starts waiting requests on the
// slots that came.
func (s *State) settleLeases() {
	l := &s.leases
	l.holder.Settle()
	for range maxExchanges {
		if l.holder.Busy() {
			s.sendAsks(false)
		}
		s.sendReplies()
		if !s.takeSlots() {
			break
		}
	}
	if at, waits := l.holder.NextAsk(); waits {
		s.wake(max(Instant(at), s.now+1))
	}
	if at, waits := l.owner.NextCheck(); waits {
		s.wake(max(Instant(at), s.now+1))
	}
}

func (s *State) sendAsks(renew bool) {
	for _, out := range s.leases.holder.Asks(time.Duration(s.now), renew) {
		if out.Owner == s.self.Host {
			s.leases.owner.Receive(time.Duration(s.now), out.Owner, out.Ask)
			continue
		}
		if address := s.addressOf(out.Owner); address != "" {
			s.count(CounterLeaseMessages, "ask")
			s.send(address, Message{Ask: &out.Ask})
		}
	}
}

func (s *State) sendReplies() {
	for _, reply := range s.leases.owner.Replies() {
		if reply.Holder == s.self.Host {
			s.leases.holder.Receive(time.Duration(s.now), reply.Holder, reply.Answer)
			continue
		}
		address := s.addressOf(reply.Holder)
		if address == "" {
			continue
		}
		message := Message{Answer: &reply.Answer}
		s.count(CounterLeaseMessages, "answer")
		if ask, due := s.leases.holder.Renew(time.Duration(s.now), reply.Holder); due {
			message.Ask = &ask
		}
		s.send(address, message)
	}
}

// takeSlots hands the changed leases to the upstreams. It reports whether
// there were any.
func (s *State) takeSlots() bool {
	changed := s.leases.holder.Changed()
	for _, holding := range changed {
		u := s.leases.units[holding.Unit]
		if u == nil || u.holding != holding {
			continue
		}
		for i, slot := range holding.Slots {
			s.setLease(u.upstreams[i], holding.Leased, slot.Held)
		}
		s.drainQueue(u.service)
	}
	return len(changed) > 0
}

func (s *State) setLease(u *upstream, leased bool, held int) {
	if u.leased && !leased {
		s.count(CounterLeases, "lapsed")
	}
	if !u.leased && leased {
		s.count(CounterLeases, "leased")
	}
	u.leased, u.held = leased, held
}

func (s *State) leaseStatus() LeaseStatus {
	granted, holders := s.leases.owner.Granted()
	held, leased, fallback := s.leases.holder.Totals()
	return LeaseStatus{Granted: granted, Holders: holders, Held: held, Leased: leased, OwnCounts: fallback}
}
