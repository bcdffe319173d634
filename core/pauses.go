package core

import "time"

const (
	// maxStepDelay bounds the lateness of a step. The process counts as having
	// been paused if more than TickInterval and maxStepDelay together lie between
	// two steps.
	maxStepDelay = 500 * time.Millisecond
	// confirmTimeout is the longest time for which a resumed host waits for a
	// response before it starts non-idempotent requests again.
	confirmTimeout = time.Second
	// confirmPeerCount is the number of peers that a resumed host queries.
	confirmPeerCount = 3
)

// pauseState tracks pauses of the process. A process resumes with stale state,
// while the rest of the fleet has moved on.
type pauseState struct {
	lastStep Instant
	// query is the number that peers return in their reply.
	query uint64
	// confirming is set while non-idempotent requests are held back, until
	// deadline at the latest.
	confirming bool
	deadline   Instant
}

// detectPause checks for a gap between two steps. Every step counts, not only
// ticks, since events that were queued during the pause may be applied before the
// late tick.
func (s *State) detectPause() {
	last := s.pause.lastStep
	s.pause.lastStep = s.now
	if last == 0 || s.now.Sub(last) <= TickInterval+maxStepDelay {
		return
	}
	s.handleResume(s.now.Sub(last))
}

// handleResume drops the leases that this host holds and has granted, since others
// may use the slots by now, and starts the confirmation.
func (s *State) handleResume(gap time.Duration) {
	s.count(CounterPauses, "")
	s.out.add(Log{Level: LogWarn, Message: "the process was paused", Fields: []LogField{
		{Key: "gap", Value: gap.String()},
	}})
	s.leases.owner.Reset()
	s.leases.holder.Reset()
	s.ownership.restartGrantWait(s.now)
	s.startConfirmation()
	s.applyLeases()
	s.members.Resume(time.Duration(s.now), &s.memberOutput)
	s.sendMembership()
}

// startConfirmation holds back non-idempotent requests until a peer, the store or
// the platform has responded: during the pause, the host may have been replaced or
// its backend servers may have left.
func (s *State) startConfirmation() {
	s.pause.confirming = true
	s.pause.deadline = s.now.Add(confirmTimeout)
	s.scheduleTick(s.pause.deadline)
	s.pause.query = s.random.next() | 1
	if s.self.Registry != nil {
		// The state read from the store is at least as old as the pause was long,
		// so the store is read at once.
		s.callStoreIfDue()
		return
	}
	if s.members.LiveCount() == 0 {
		s.out.add(ReadHostList{})
		return
	}
	s.sendToAll(s.members.Sample(confirmPeerCount), Message{Query: s.pause.query})
}

// confirmFromStore ends the confirmation if the staleness of the store state is
// below maxStaleness.
func (s *State) confirmFromStore() {
	if s.self.Registry != nil && s.storeStaleness() < maxStaleness {
		s.endConfirmation()
	}
}

// confirming reports whether non-idempotent requests are held back after a pause.
func (s *State) confirming() bool { return s.pause.confirming }

// handleConfirmation replies to the query of a resumed peer, and ends the
// confirmation of this host when a peer has replied to its query.
func (s *State) handleConfirmation(e PeerMessage) {
	if e.Message.Query != 0 {
		s.send(e.Address, Message{Reply: e.Message.Query, Accepted: s.acceptedVersion()})
	}
	if e.Message.Reply != 0 && e.Message.Reply == s.pause.query {
		s.endConfirmation()
	}
}

// confirmFromPlatform ends the confirmation when the platform has responded, if
// there is no live peer.
func (s *State) confirmFromPlatform() {
	if s.members.LiveCount() == 0 {
		s.endConfirmation()
	}
}

func (s *State) tickPause() {
	if s.pause.confirming && !s.now.Before(s.pause.deadline) {
		s.endConfirmation()
	}
}

// endConfirmation starts the requests that were held back.
func (s *State) endConfirmation() {
	if !s.pause.confirming {
		return
	}
	s.pause.confirming = false
	for _, name := range sortedKeys(s.services) {
		s.drainQueue(s.services[name])
	}
}
