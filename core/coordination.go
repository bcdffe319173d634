package core

import (
	"time"

	"wisteriapond/lease"
	"wisteriapond/membership"
)

// coordination is the state of the decisions between entry hosts and towards
// the platform.
type coordination struct {
	members   *membership.Table
	memberOut membership.Output
	view      ownership
	marks     marks
	documents documents
	leases    leases
	probing   probing
	pause     pause
	nextWake  Instant
}

func (c *coordination) init(s *State) {
	c.members = membership.New(membership.Member{}, 0, s.random.below)
	c.documents.init()
	c.leases.init(s)
	c.probing.init(s.now)
}

// startCoordination begins with what the settings say.
func (s *State) startCoordination(e Start) {
	s.members = membership.New(membership.Member{
		Name:          e.Host,
		Address:       e.Address,
		Region:        e.Region,
		FailureDomain: e.FailureDomain,
	}, e.Incarnation, s.random.below)
	s.leases.start(s, e.Incarnation)
	s.startProbing()
	s.updateView()
	if e.Registry != nil {
		s.startRegistry()
	} else {
		s.startDocuments(e.Peers)
	}
	for _, peer := range e.Peers {
		s.members.AddContact(peer)
	}
	s.members.Join(time.Duration(s.now), e.Peers, &s.memberOut)
	s.sendMembership()
}

// tickCoordination advances everything that depends on time.
func (s *State) tickCoordination() {
	now := time.Duration(s.now)
	s.members.Tick(now, &s.memberOut)
	s.sendMembership()
	if s.self.Registry != nil {
		s.tickRegistry()
	} else {
		s.tickDocuments()
	}
	s.tickLeases()
	s.tickProbes()
	s.tickPause()
}

// settle ends a step: it sends what the step made due, and asks for the tick
// at which the next thing is.
func (s *State) settle(event Event) {
	if e, ok := event.(RequestArrived); ok {
		s.useLeases(e.ID)
	}
	s.settleLeases()
}

// wake asks for a tick, unless an earlier one was asked for.
func (s *State) wake(at Instant) {
	if s.nextWake > s.now && s.nextWake <= at {
		return
	}
	s.nextWake = at
	s.out.add(WakeAt{At: at})
}

// fanout chooses the peers that are told something at once: all of them in a
// small fleet, a few random ones in a large one, where each passes it on.
func (s *State) fanout() []membership.Member {
	if s.members.Live() <= maxDirectPeers {
		return s.members.LiveMembers()
	}
	return s.members.Sample(fanoutPeers)
}

const (
	// maxDirectPeers is the number of peers up to which all are told directly.
	maxDirectPeers = 32
	// fanoutPeers is the number of peers told in a larger fleet. With eight,
	// an update reaches 4,096 hosts in four to five hops, and the pings make up for
	// hosts that were missed.
	fanoutPeers = 8
)

func (s *State) sendTo(peers []membership.Member, m Message) {
	for _, peer := range peers {
		s.send(peer.Address, m)
	}
}

func (s *State) send(address string, m Message) {
	s.out.add(SendPeer{Address: address, Message: m})
}

// addressOf returns the address of an entry host, empty when it is unknown.
func (s *State) addressOf(host string) string {
	update, _ := s.members.Lookup(host)
	return update.Member.Address
}

var _ lease.OwnerEnv = (*leases)(nil)
