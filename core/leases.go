package core

import (
	"slices"
	"time"

	"wisteriapond/config"
	"wisteriapond/lease"
)

// maxLocalExchanges bounds the rounds of lease messages that a host exchanges
// with itself, as holder and as owner, within one step. An ask and its answer take
// two rounds.
const maxLocalExchanges = 4

// leaseScanInterval is the minimum time between two scans of sessions and units.
// Ticks are more frequent than that when work is due at a certain instant.
const leaseScanInterval = TickInterval / 2

// leases is the state of slot leases: the slots that this host grants as an
// owner, and those that it holds.
type leases struct {
	state  *State
	owner  *lease.Owner
	holder *lease.Holder
	units  map[lease.Unit]*leaseUnit
	// nextScan is the instant of the next scan of sessions and units.
	nextScan Instant
	// services holds the units of each service, with that of the local region first.
	services map[string]*leaseService
}

type leaseService struct {
	service   *service
	upstreams []*upstream
	units     []*leaseUnit
	// longUnits are the units of long requests, one for each of units. There are
	// none if the service does not distinguish long requests from short ones.
	longUnits []*leaseUnit
	// nextRemote selects the remote region that is asked next, in rotation.
	nextRemote int
}

// leaseUnit groups the upstreams of one service in one region, for one request
// class.
type leaseUnit struct {
	unit lease.Unit
	// key is the hash of the unit from which its owner is determined.
	key       uint64
	service   *service
	upstreams []*upstream
	holding   *lease.Holding
	// owner is the owner of the unit at ownerVersion, the version of the ownership.
	owner        string
	ownerVersion uint64
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

// Owner implements lease.HolderEnv. It returns "" if there are no live peers, since
// a host that is alone relies on its own counts.
func (l *leases) Owner(unit lease.Unit) string {
	s := l.state
	if s.members.LiveCount() == 0 {
		return ""
	}
	u := l.units[unit]
	if u == nil {
		return s.ownership.region(unit.Region).rendezvousOwner(unitKey(unit))
	}
	if u.ownerVersion != s.ownership.version {
		u.ownerVersion = s.ownership.version
		u.owner = s.ownership.region(unit.Region).rendezvousOwner(u.key)
	}
	return u.owner
}

// Refresh implements lease.HolderEnv. It sets Size and Running of the slots of a
// holding, and Tied.
func (l *leases) Refresh(holding *lease.Holding) {
	u := l.units[holding.Unit]
	if u == nil {
		return
	}
	holding.Tied = 0
	for i, slot := range holding.Slots {
		slot.Running = u.upstreams[i].running
		if u.unit.Long {
			slot.Running = u.upstreams[i].runningLong
		} else {
			holding.Tied += u.upstreams[i].runningLong
		}
		slot.Size = l.leasableSlots(u.unit, u.upstreams[i])
	}
}

// leasableSlots returns the number of slots of an upstream that may be leased:
// none on a leaving host, in an emptied failure domain or in a region that the service does not allow, and for long requests those that are not reserved for
// short ones.
func (l *leases) leasableSlots(unit lease.Unit, u *upstream) int {
	switch {
	case u.leaving, u.emptied, !config.RegionAllowed(u.service.config.AllowedRegions, u.config.Region):
		return 0
	case unit.Long:
		return u.maxLongSlots()
	}
	return u.config.Slots
}

// Ownership implements lease.OwnerEnv. Wait lasts until the leases that an earlier
// owner may have granted have expired.
func (l *leases) Ownership(unit lease.Unit) lease.Ownership {
	s := l.state
	region := s.ownership.region(unit.Region)
	if l.units[unit] == nil || region == nil || l.Owner(unit) != s.self.Host {
		return lease.Ownership{}
	}
	until := region.changedAt.Add(lease.MaxTerm + lease.HandoverMargin)
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
		sizes = append(sizes, lease.Slots{Upstream: up.config.Name, Count: l.leasableSlots(unit, up)})
	}
	return sizes
}

// updateLeases applies the services in force to the lease units. Unchanged
// services cause no messages.
func (s *State) updateLeases() {
	l := &s.leases
	for _, name := range sortedKeys(l.services) {
		if s.services[name] == nil {
			l.removeUnits(l.services[name].all())
			delete(l.services, name)
		}
	}
	for _, name := range sortedKeys(s.services) {
		svc := s.services[name]
		ls := l.services[name]
		if ls != nil && ls.covers(svc) {
			s.resizeService(ls)
			continue
		}
		l.services[name] = s.buildLeaseService(svc, ls)
	}
}

// covers reports whether the units match the upstreams and the request classes of
// the service.
func (ls *leaseService) covers(svc *service) bool {
	return ls.service == svc && len(ls.longUnits) > 0 == svc.mixesClasses() && slices.Equal(ls.upstreams, svc.upstreams)
}

// resizeService applies changed numbers of slots.
func (s *State) resizeService(ls *leaseService) {
	for _, u := range ls.all() {
		s.resizeUnit(u)
	}
}

// all returns the units of both request classes.
func (ls *leaseService) all() []*leaseUnit {
	return slices.Concat(ls.units, ls.longUnits)
}

// resizeUnit informs the holder and the owner if the number of leasable slots of
// any upstream of the unit has changed.
func (s *State) resizeUnit(u *leaseUnit) {
	changed := false
	for i, slot := range u.holding.Slots {
		changed = changed || slot.Size != s.leases.leasableSlots(u.unit, u.upstreams[i])
	}
	if !changed {
		return
	}
	s.leases.holder.SizesChanged(u.holding)
	s.leases.owner.SizesChanged(time.Duration(s.now), u.unit)
}

// buildLeaseService creates the units of a service, one for each region, and a
// second one for long requests if short ones use the same upstreams. It removes the
// previous units that are no longer needed. Leases on upstreams that remain are
// kept.
func (s *State) buildLeaseService(svc *service, previous *leaseService) *leaseService {
	l := &s.leases
	next := &leaseService{service: svc, upstreams: svc.upstreams}
	byRegion := make(map[string][]*upstream)
	for _, u := range svc.upstreams {
		byRegion[u.config.Region] = append(byRegion[u.config.Region], u)
	}
	if previous != nil {
		l.removeUnits(slices.DeleteFunc(previous.all(), func(u *leaseUnit) bool {
			return byRegion[u.unit.Region] != nil && (!u.unit.Long || svc.mixesClasses())
		}))
	}
	regions := sortedKeys(byRegion)
	if i := slices.Index(regions, s.self.Region); i > 0 {
		regions = slices.Insert(slices.Delete(regions, i, i+1), 0, s.self.Region)
	}
	for _, region := range regions {
		unit := lease.Unit{Service: svc.config.Name, Region: region}
		next.units = append(next.units, s.setLeaseUnit(svc, unit, byRegion[region]))
		if svc.mixesClasses() {
			unit.Long = true
			next.longUnits = append(next.longUnits, s.setLeaseUnit(svc, unit, byRegion[region]))
		}
	}
	return next
}

// setLeaseUnit adds a unit or replaces its upstreams.
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

// removeUnits removes units and their leases. For their upstreams, this host
// relies on its own counts again.
func (l *leases) removeUnits(units []*leaseUnit) {
	for _, u := range units {
		delete(l.units, u.unit)
		l.holder.RemoveUnit(u.unit)
		for _, up := range u.upstreams {
			l.state.setLease(u.unit, up, false, 0)
		}
		l.owner.SizesChanged(time.Duration(l.state.now), u.unit)
	}
}

// resizeHostLeases applies a changed leaving mark of a host to the units with
// upstreams on it.
func (s *State) resizeHostLeases(host string) {
	for _, name := range sortedKeys(s.leases.services) {
		for _, u := range s.leases.services[name].all() {
			if slices.ContainsFunc(u.upstreams, func(up *upstream) bool { return up.config.Host == host }) {
				s.resizeUnit(u)
			}
		}
	}
}

// requestSlots requests leased slots, since a request of the service has to wait.
// Other regions are asked, one at a time, once slots requested from the local
// region have been outstanding for remoteRequestDelay.
func (s *State) requestSlots(svc *service) {
	ls := s.leases.services[svc.config.Name]
	if ls == nil || len(ls.units) == 0 {
		return
	}
	waiting, long := svc.waiting, svc.waitingLong()
	if len(ls.longUnits) > 0 && long > 0 {
		s.requestUnits(ls, ls.longUnits, long)
		// A long request that lacks a slot of the long class cannot use an
		// ordinary one, so it is not counted here.
		waiting -= max(0, long-svc.idleLongSlots())
	}
	if waiting > 0 || long == 0 {
		s.requestUnits(ls, ls.units, max(1, waiting))
		return
	}
	s.withdrawUnits(ls.units)
}

func (s *State) withdrawUnits(units []*leaseUnit) {
	for _, u := range units {
		s.leases.holder.ClearWanted(time.Duration(s.now), u.holding)
	}
}

// requestUnits requests slots of the given units of one request class for a number
// of waiting requests. The unit of the local region, if there is one, is the
// first.
func (s *State) requestUnits(ls *leaseService, units []*leaseUnit, waiting int) {
	now := time.Duration(s.now)
	first := units[0]
	if first.unit.Region != s.self.Region {
		s.requestRemoteSlots(ls, units, waiting)
		return
	}
	slotWait := first.holding.SlotWait(now)
	s.leases.holder.SetWanted(now, first.holding, waiting)
	if slotWait >= remoteRequestDelay && len(units) > 1 {
		s.requestRemoteSlots(ls, units[1:], waiting)
	}
}

// withdrawSlots withdraws the request for slots once no request of the service is
// waiting any more.
func (s *State) withdrawSlots(svc *service) {
	if ls := s.leases.services[svc.config.Name]; ls != nil {
		s.withdrawUnits(ls.all())
	}
}

// remoteRequestDelay is the time for which slots requested from the local region
// may be outstanding before other regions are asked. It is the extra round trip that
// a request to another region costs: twice the one-way delay of 12 ms.
const remoteRequestDelay = 24 * time.Millisecond

// requestRemoteSlots requests slots of the next one of the given units, in
// rotation.
func (s *State) requestRemoteSlots(ls *leaseService, units []*leaseUnit, waiting int) {
	u := units[ls.nextRemote%len(units)]
	ls.nextRemote++
	s.leases.holder.SetWanted(time.Duration(s.now), u.holding, waiting)
}

// ensureLeased makes sure that the local region's units for a new request are
// leased, without waiting for the next scan.
func (s *State) ensureLeased(id RequestID) {
	r := s.requests[id]
	if r == nil || s.members.LiveCount() == 0 {
		return
	}
	ls := s.leases.services[r.service.config.Name]
	if ls == nil || len(ls.units) == 0 || ls.units[0].unit.Region != s.self.Region {
		return
	}
	s.leases.holder.EnsureLeased(time.Duration(s.now), ls.units[0].holding)
	if r.group.long && len(ls.longUnits) > 0 {
		s.leases.holder.EnsureLeased(time.Duration(s.now), ls.longUnits[0].holding)
	}
}

func (s *State) handleLeaseMessage(e PeerMessage) {
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
	l.nextScan = s.now.Add(leaseScanInterval)
	l.holder.Tick(now)
	l.owner.Tick(now)
	s.sendLeaseAsks(true)
}

// flushLeases sends the lease messages that a step made due and starts waiting
// requests on newly granted slots.
func (s *State) flushLeases() {
	l := &s.leases
	l.holder.CheckOveruse()
	for range maxLocalExchanges {
		if l.holder.AsksPending() {
			s.sendLeaseAsks(false)
		}
		s.sendLeaseAnswers()
		if !s.applyLeases() {
			break
		}
	}
	if at, waits := l.holder.NextAsk(); waits {
		s.scheduleTick(max(Instant(at), s.now+1))
	}
	if at, waits := l.owner.NextRecallCheck(); waits {
		s.scheduleTick(max(Instant(at), s.now+1))
	}
}

func (s *State) sendLeaseAsks(renew bool) {
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

func (s *State) sendLeaseAnswers() {
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

// applyLeases copies changed leases to the upstreams and starts waiting requests
// on them. It reports whether any lease changed.
func (s *State) applyLeases() bool {
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

// setLease stores the lease of an upstream and counts the change between leases
// and own counts. Leases of the long class are not counted.
func (s *State) setLease(unit lease.Unit, u *upstream, leased bool, held int) {
	if unit.Long {
		u.longLeased, u.longHeld = leased, held
		return
	}
	if u.leased && !leased {
		s.count(CounterLeaseChanges, "lapsed")
	}
	if !u.leased && leased {
		s.count(CounterLeaseChanges, "leased")
	}
	u.leased, u.held = leased, held
}

func (s *State) leaseStatus() LeaseStatus {
	granted, holders := s.leases.owner.Granted()
	held, leased, ownCounts := s.leases.holder.Totals()
	return LeaseStatus{Granted: granted, Holders: holders, Held: held, Leased: leased, OwnCounts: ownCounts}
}
