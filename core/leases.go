package core

import (
	"slices"
	"time"

	"wisteriapond/lease"
)

// maxExchanges bounds the rounds of messages of this host with itself within
// one step. An ask and its answer take two.
const maxExchanges = 4

// leaseScan is the least time between two looks at sessions and units. Ticks
// come more often than that when something is to be done at an instant.
const leaseScan = TickInterval / 2

// leases is the state of slot leases: what this host grants as an owner and
// what it holds.
type leases struct {
	state  *State
	owner  *lease.Owner
	holder *lease.Holder
	units  map[lease.Unit]*leaseUnit
	// nextScan is the instant of the next look at sessions and units.
	nextScan Instant
	// services lists the units of each service, that of the own region first.
	services map[string]*leaseService
}

type leaseService struct {
	service   *service
	upstreams []*upstream
	units     []*leaseUnit
	// longs are the units of long requests, one for each unit; none when the
	// service does not tell long requests from short ones.
	longs []*leaseUnit
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

// Owner implements lease.HolderEnv. A host that is alone relies on its own counts.
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

// Refresh implements lease.HolderEnv.
func (l *leases) Refresh(holding *lease.Holding) {
	u := l.units[holding.Unit]
	if u == nil {
		return
	}
	holding.Tied = 0
	for i, slot := range holding.Slots {
		slot.Running = u.upstreams[i].running
		if u.unit.Long {
			slot.Running = u.upstreams[i].long
		} else {
			holding.Tied += u.upstreams[i].long
		}
		slot.Size = l.size(u.unit, u.upstreams[i])
	}
}

// size returns the slots that may be leased: none of a leaving host, and for
// long requests those that are not kept for short ones.
func (l *leases) size(unit lease.Unit, u *upstream) int {
	switch {
	case u.leaving:
		return 0
	case unit.Long:
		return u.slotsForLong()
	}
	return u.config.Slots
}

// Ownership implements lease.OwnerEnv.
func (l *leases) Ownership(unit lease.Unit) lease.Ownership {
	s := l.state
	region := s.view.region(unit.Region)
	if l.units[unit] == nil || region == nil || l.Owner(unit) != s.self.Host {
		return lease.Ownership{}
	}
	until := region.since.Add(lease.MaxTerm + lease.HandoverMargin)
	return lease.Ownership{Owned: true, Wait: max(0, until.Sub(s.now))}
}

// Sizes implements lease.OwnerEnv.
func (l *leases) Sizes(unit lease.Unit) []lease.Slots {
	u := l.units[unit]
	if u == nil {
		return nil
	}
	sizes := make([]lease.Slots, 0, len(u.upstreams))
	for _, up := range u.upstreams {
		sizes = append(sizes, lease.Slots{Upstream: up.config.Name, Count: l.size(unit, up)})
	}
	return sizes
}

// updateLeases takes over the services in force. Services that did not change
// cost nothing.
func (s *State) updateLeases() {
	l := &s.leases
	for _, name := range sortedKeys(l.services) {
		if s.services[name] == nil {
			l.remove(l.services[name].all())
			delete(l.services, name)
		}
	}
	for _, name := range sortedKeys(s.services) {
		svc := s.services[name]
		known := l.services[name]
		if known != nil && known.covers(svc) {
			s.resizeService(known)
			continue
		}
		l.services[name] = s.leaseServiceOf(svc, known)
	}
}

// covers reports whether the units are those that the service needs.
func (known *leaseService) covers(svc *service) bool {
	return known.service == svc && len(known.longs) > 0 == svc.mixed() && slices.Equal(known.upstreams, svc.upstreams)
}

// resizeService takes over changed numbers of slots.
func (s *State) resizeService(known *leaseService) {
	for _, u := range known.all() {
		s.resizeUnit(u)
	}
}

// all returns the units of both classes.
func (known *leaseService) all() []*leaseUnit {
	return slices.Concat(known.units, known.longs)
}

func (s *State) resizeUnit(u *leaseUnit) {
	changed := false
	for i, slot := range u.holding.Slots {
		changed = changed || slot.Size != s.leases.size(u.unit, u.upstreams[i])
	}
	if !changed {
		return
	}
	s.leases.holder.SizesChanged(u.holding)
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
		l.remove(slices.DeleteFunc(known.all(), func(u *leaseUnit) bool {
			return byRegion[u.unit.Region] != nil && (!u.unit.Long || svc.mixed())
		}))
	}
	regions := sortedKeys(byRegion)
	if i := slices.Index(regions, s.self.Region); i > 0 {
		regions = slices.Insert(slices.Delete(regions, i, i+1), 0, s.self.Region)
	}
	for _, region := range regions {
		unit := lease.Unit{Service: svc.config.Name, Region: region}
		next.units = append(next.units, s.setLeaseUnit(svc, unit, byRegion[region]))
		if svc.mixed() {
			unit.Long = true
			next.longs = append(next.longs, s.setLeaseUnit(svc, unit, byRegion[region]))
		}
	}
	return next
}

func (s *State) setLeaseUnit(svc *service, unit lease.Unit, upstreams []*upstream) *leaseUnit {
	l := &s.leases
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
		for _, up := range u.upstreams {
			l.state.setLease(u.unit, up, false, 0)
		}
		l.owner.SizesChanged(time.Duration(l.state.now), u.unit)
	}
}

// hostLeases takes over the leaving mark of a host.
func (s *State) hostLeases(host string) {
	for _, name := range sortedKeys(s.leases.services) {
		for _, u := range s.leases.services[name].all() {
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
	waiting, long := svc.waiting, svc.waitingLong()
	if len(known.longs) > 0 && long > 0 {
		s.wantUnits(known, known.longs, long)
		// A long request without a slot of its class cannot use an ordinary one.
		waiting -= max(0, long-svc.idleForLong())
	}
	if waiting > 0 || long == 0 {
		s.wantUnits(known, known.units, max(1, waiting))
		return
	}
	s.unwantUnits(known.units)
}

func (s *State) unwantUnits(units []*leaseUnit) {
	for _, u := range units {
		s.leases.holder.ClearWanted(time.Duration(s.now), u.holding)
	}
}

func (s *State) wantUnits(known *leaseService, units []*leaseUnit, waiting int) {
	now := time.Duration(s.now)
	near := units[0]
	if near.unit.Region != s.self.Region {
		s.wantFar(known, units, waiting)
		return
	}
	unmet := near.holding.SlotWait(now)
	s.leases.holder.SetWanted(now, near.holding, waiting)
	if unmet >= farAfter && len(units) > 1 {
		s.wantFar(known, units[1:], waiting)
	}
}

// slotsUnwanted withdraws the request for slots once no request of the service
// waits any more.
func (s *State) slotsUnwanted(svc *service) {
	if known := s.leases.services[svc.config.Name]; known != nil {
		s.unwantUnits(known.all())
	}
}

// farAfter is the extra round trip to another region: twice the one-way delay
// of 12 ms.
const farAfter = 24 * time.Millisecond

func (s *State) wantFar(known *leaseService, units []*leaseUnit, waiting int) {
	u := units[known.turn%len(units)]
	known.turn++
	s.leases.holder.SetWanted(time.Duration(s.now), u.holding, waiting)
}

// useLeases makes sure that the own region's unit of a service in use is
// leased, without waiting for the next look at it.
func (s *State) useLeases(id RequestID) {
	r := s.requests[id]
	if r == nil || s.members.Live() == 0 {
		return
	}
	known := s.leases.services[r.service.config.Name]
	if known == nil || len(known.units) == 0 || known.units[0].unit.Region != s.self.Region {
		return
	}
	s.leases.holder.EnsureLeased(time.Duration(s.now), known.units[0].holding)
	if r.group.long && len(known.longs) > 0 {
		s.leases.holder.EnsureLeased(time.Duration(s.now), known.longs[0].holding)
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
	l, now := &s.leases, time.Duration(s.now)
	if s.now < l.nextScan {
		l.owner.CheckRecalls(now)
		return
	}
	l.nextScan = s.now.Add(leaseScan)
	l.holder.Tick(now)
	l.owner.Tick(now)
	s.sendAsks(true)
}

// settleLeases sends what a step made due and starts waiting requests on the
// slots that came.
func (s *State) settleLeases() {
	l := &s.leases
	l.holder.CheckOveruse()
	for range maxExchanges {
		if l.holder.AsksPending() {
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
	if at, waits := l.owner.NextRecallCheck(); waits {
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
	for _, reply := range s.leases.owner.Answers() {
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
			s.setLease(u.unit, u.upstreams[i], holding.Leased, slot.Held)
		}
		s.drainQueue(u.service)
	}
	return len(changed) > 0
}

func (s *State) setLease(unit lease.Unit, u *upstream, leased bool, held int) {
	if unit.Long {
		u.longLeased, u.longHeld = leased, held
		return
	}
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
