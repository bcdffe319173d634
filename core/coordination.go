package core

import (
	"time"

	"wisteriapond/lease"
	"wisteriapond/membership"
)

// coordination is the state that depends on other entry hosts and on the
// platform: membership, leaving marks, documents, slot leases and probes.
type coordination struct {
	members      *membership.Table
	memberOutput membership.Output
	ownership    ownership
	marks        leavingMarks
	documents    documents
	leases       leases
	probing      probing
	pause        pauseState
	nextTick     Instant
}

func (c *coordination) init(s *State) {
	c.members = membership.New(membership.Member{}, 0, s.random.intN)
	c.documents.init()
	c.leases.init(s)
	c.probing.init(s.now)
}

// startCoordination starts the exchange with peers and the platform, or with
// the store, as the settings require.
func (s *State) startCoordination(e Start) {
	s.members = membership.New(membership.Member{
		Name:          e.Host,
		Address:       e.Address,
		Region:        e.Region,
		FailureDomain: e.FailureDomain,
	}, e.Incarnation, s.random.intN)
	s.leases.start(s, e.Incarnation)
	s.startProbing()
	s.updateOwnership()
	if e.Registry != nil {
		s.startRegistry()
	} else {
		s.startDocuments(e.Peers)
	}
	for _, peer := range e.Peers {
		s.members.AddContact(peer)
	}
	s.members.Join(time.Duration(s.now), e.Peers, &s.memberOutput)
	s.sendMembership()
}

// tickCoordination runs the periodic work of all parts of the coordination.
func (s *State) tickCoordination() {
	now := time.Duration(s.now)
	s.members.Tick(now, &s.memberOutput)
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

// finishStep ends a step. It makes sure that the units of an arrived request are
// leased, sends the lease messages that the step made due and schedules the tick at
// which the next ones are due.
func (s *State) finishStep(event Event) {
	if e, ok := event.(RequestArrived); ok {
		s.ensureLeased(e.ID)
	}
	s.flushLeases()
}

// scheduleTick requests a tick at an instant, unless an earlier one is scheduled.
func (s *State) scheduleTick(at Instant) {
	if s.nextTick > s.now && s.nextTick <= at {
		return
	}
	s.nextTick = at
	s.out.add(WakeAt{At: at})
}

// propagationTargets returns the peers to which an update is sent directly: all
// of them in a small fleet, or a few random ones in a large fleet, where each
// receiver forwards it.
func (s *State) propagationTargets() []membership.Member {
	if s.members.LiveCount() <= maxDirectPeers {
		return s.members.LiveMembers()
	}
	return s.members.Sample(fanoutSize)
}

const (
	// maxDirectPeers is the largest number of peers at which an update is sent to
	// all of them directly.
	maxDirectPeers = 32
	// fanoutSize is the number of peers to which an update is sent in a larger
	// fleet. With eight, an update reaches 4,096 hosts in four to five hops, and
	// updates attached to pings reach the hosts that were missed.
	fanoutSize = 8
)

func (s *State) sendToAll(peers []membership.Member, m Message) {
	for _, peer := range peers {
		s.send(peer.Address, m)
	}
}

func (s *State) send(address string, m Message) {
	s.out.add(SendPeer{Address: address, Message: m})
}

// addressOf returns the address of an entry host, or "" if it is unknown.
func (s *State) addressOf(host string) string {
	update, _ := s.members.Lookup(host)
	return update.Member.Address
}

var _ lease.OwnerEnv = (*leases)(nil)
