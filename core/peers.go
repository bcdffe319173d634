package core

import (
	"strconv"
	"time"

	"wisteriapond/membership"
)

const (
	// marksPerMessage and measuredPerMessage bound what is attached to a
	// membership message.
	marksPerMessage    = 4
	measuredPerMessage = 8
	// hostsPerMessage bounds the entries of one message in a full exchange.
	hostsPerMessage = 128
)

// peerMessage takes a message from another entry host.
func (s *State) peerMessage(e PeerMessage) {
	m := &e.Message
	if m.Membership != nil {
		s.members.Receive(time.Duration(s.now), e.From, *m.Membership, &s.memberOut)
		s.sendMembership()
	}
	s.startupAnswer(e)
	s.mergeMarks(m.Hosts)
	s.exchangeMarks(m)
	s.handleDocuments(e)
	s.leaseMessage(e)
	s.measurementsHeard(m.Measured)
	s.pauseMessage(e)
}

// exchangeMarks compares the marks with those of a peer that pings, answers or
// joins.
func (s *State) exchangeMarks(m *Message) {
	if m.Membership == nil {
		return
	}
	address := m.Membership.Sender.Member.Address
	switch m.Membership.Kind {
	case membership.Join:
		s.sendMarks(address)
	case membership.Ping, membership.Ack:
		s.compareMarks(m.MarksDigest, address)
	}
}

func (s *State) peerUnreachable(e PeerUnreachable) {
	s.count(CounterPeerUnreachable, "")
	s.documents.startup.answered(e.Address)
	s.updateReady()
}

// sendMembership sends the messages of the membership protocol, with updates
// attached, and follows the changes that came with the call.
func (s *State) sendMembership() {
	out := &s.memberOut
	for _, change := range out.Changes {
		s.memberChanged(change)
	}
	if len(out.Changes) > 0 {
		s.updateView()
		s.updateWatch()
	}
	for _, send := range out.Sends {
		s.send(send.Address, s.withUpdates(send.Message))
	}
	out.Reset()
}

// withUpdates attaches leaving marks, results of probes and the version in force
// to a message, so that updates that were lost elsewhere still arrive.
func (s *State) withUpdates(m membership.Message) Message {
	message := Message{Membership: &m}
	peers := s.members.Live() + 1
	message.Hosts = s.marks.rumors.Next(marksPerMessage, peers)
	message.Measured = s.recentMeasurements(peers)
	switch m.Kind {
	case membership.Ping, membership.Ack, membership.Join:
		message.Accepted = s.acceptedVersion()
		message.MarksDigest = s.marks.digest
	}
	return message
}

func (s *State) memberChanged(change membership.Change) {
	s.count(CounterMembers, change.To.String())
	s.announceTo(change)
	if change.To == membership.Suspect || change.From == membership.Suspect && change.To == membership.Alive {
		return
	}
	s.out.add(Log{Message: "entry host changed", Fields: []LogField{
		{Key: "member", Value: change.Member.Name},
		{Key: "address", Value: change.Member.Address},
		{Key: "state", Value: change.To.String()},
		{Key: "live", Value: strconv.Itoa(s.members.Live() + 1)},
	}})
}

// announceTo makes a starting host known at once to the members of its region
// that it hears of. It takes over duties from them, and two owners must not
// both grant.
func (s *State) announceTo(change membership.Change) {
	starting := s.now.Before(s.documents.startup.until)
	if !starting || !change.New || change.Member.Region != s.self.Region {
		return
	}
	s.members.Announce([]membership.Member{change.Member}, &s.memberOut)
}
