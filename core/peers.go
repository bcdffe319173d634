package core

import (
	"strconv"
	"time"

	"wisteriapond/membership"
)

const (
	// marksPerMessage and measurementsPerMessage bound the updates attached to one
	// membership message.
	marksPerMessage        = 4
	measurementsPerMessage = 8
	// hostsPerMessage bounds the entries of a message that carries leaving marks
	// only.
	hostsPerMessage = 128
)

// peerMessage handles a message from another entry host.
func (s *State) peerMessage(e PeerMessage) {
	m := &e.Message
	if m.Membership != nil {
		s.members.Receive(time.Duration(s.now), e.From, *m.Membership, &s.memberOutput)
		s.sendMembership()
	}
	s.recordStartupResponse(e)
	s.mergeMarks(m.Hosts)
	s.exchangeMarks(m)
	s.handleDocumentMessage(e)
	s.handleLeaseMessage(e)
	s.measurementsReceived(m.Measured)
	s.handleConfirmation(e)
}

// exchangeMarks sends all leaving marks to a peer that joins, and compares
// digests with a peer that pings or acknowledges a ping.
func (s *State) exchangeMarks(m *Message) {
	if m.Membership == nil {
		return
	}
	address := m.Membership.Sender.Member.Address
	switch m.Membership.Kind {
	case membership.Join:
		s.sendAllMarks(address)
	case membership.Ping, membership.Ack:
		s.compareMarks(m.MarksDigest, address)
	}
}

func (s *State) peerUnreachable(e PeerUnreachable) {
	s.count(CounterPeerUnreachable, "")
	s.documents.startup.responded(e.Address)
	s.updateReady()
}

// sendMembership sends the pending messages of the membership protocol with
// updates attached, and applies the member changes that came with them.
func (s *State) sendMembership() {
	out := &s.memberOutput
	for _, change := range out.Changes {
		s.memberChanged(change)
	}
	if len(out.Changes) > 0 {
		s.updateOwnership()
		s.updateWatch()
	}
	for _, send := range out.Sends {
		s.send(send.Address, s.withUpdates(send.Message))
	}
	out.Reset()
}

// withUpdates attaches leaving marks, probe results and the version in force to a
// membership message, so that a host that missed an update still receives it.
func (s *State) withUpdates(m membership.Message) Message {
	message := Message{Membership: &m}
	peers := s.members.LiveCount() + 1
	message.Hosts = s.marks.broadcasts.Next(marksPerMessage, peers)
	message.Measured = s.measurementsToSend(peers)
	switch m.Kind {
	case membership.Ping, membership.Ack, membership.Join:
		message.Accepted = s.acceptedVersion()
		message.MarksDigest = s.marks.digest
	}
	return message
}

// memberChanged counts a change of a member. It is logged too, unless a member has
// only come under suspicion or has been cleared of it.
func (s *State) memberChanged(change membership.Change) {
	s.count(CounterMemberChanges, change.To.String())
	s.announceTo(change)
	if change.To == membership.Suspect || change.From == membership.Suspect && change.To == membership.Alive {
		return
	}
	s.out.add(Log{Message: "state of an entry host changed", Fields: []LogField{
		{Key: "member", Value: change.Member.Name},
		{Key: "address", Value: change.Member.Address},
		{Key: "state", Value: change.To.String()},
		{Key: "live", Value: strconv.Itoa(s.members.LiveCount() + 1)},
	}})
}

// announceTo announces this host, while it is starting, at once to each newly
// discovered member of its region. The host takes over the ownership of lease units
// from these members, and two owners must not both grant slots.
func (s *State) announceTo(change membership.Change) {
	starting := s.now.Before(s.documents.startup.deadline)
	if !starting || !change.New || change.Member.Region != s.self.Region {
		return
	}
	s.members.Announce([]membership.Member{change.Member}, &s.memberOutput)
}
