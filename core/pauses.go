package core

import "time"

const (
	// pauseLimit is the lateness of a tick from which on the process counts as
	// having been paused.
	maxStepDelay = 500 * time.Millisecond
	// confirmTime is the longest time for which a resumed host waits for an
	// answer before it starts non-idempotent requests again.
	confirmTimeout = time.Second
	// confirmPeers is the number of peers that a resumed host asks.
	confirmPeerCount = 3
)

// pause tracks pauses of the process. A paused process resumes with facts of
// the past; the rest of the fleet has gone on without it.
type pauseState struct {
	lastStep   Instant
	query      uint64
	confirming bool
	until      Instant
}

// notePause looks for a gap between two steps. Every step counts, since events
// that waited may be applied before the late tick.
func (s *State) detectPause() {
	last := s.pause.lastStep
	s.pause.lastStep = s.now
	if last == 0 || s.now.Sub(last) <= TickInterval+maxStepDelay {
		return
	}
	s.handleResume(s.now.Sub(last))
}

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

// confirm holds non-idempotent requests back until someone has answered: the
// host may have been replaced, or its backend servers may have left.
func (s *State) startConfirmation() {
	s.pause.confirming = true
	s.pause.until = s.now.Add(confirmTimeout)
	s.scheduleTick(s.pause.until)
	s.pause.query = s.random.next() | 1
	if s.self.Registry != nil {
		// The news are as old as the pause, so that the store is read at once.
		s.driveStore()
		return
	}
	if s.members.Live() == 0 {
		s.out.add(ReadHostList{})
		return
	}
	s.sendToAll(s.members.Sample(confirmPeerCount), Message{Query: s.pause.query})
}

// newsConfirmed counts news of the store that are younger than the pause.
func (s *State) confirmFromStore() {
	if s.self.Registry != nil && s.newsAge() < newsLimit {
		s.endConfirmation()
	}
}

// confirming reports whether non-idempotent requests must not start now.
func (s *State) confirming() bool { return s.pause.confirming }

func (s *State) handleConfirmation(e PeerMessage) {
	if e.Message.Query != 0 {
		s.send(e.Address, Message{Reply: e.Message.Query, Accepted: s.acceptedVersion()})
	}
	if e.Message.Reply != 0 && e.Message.Reply == s.pause.query {
		s.endConfirmation()
	}
}

// pauseAnswered counts an answer of the platform when no peer is known.
func (s *State) confirmFromPlatform() {
	if s.members.Live() == 0 {
		s.endConfirmation()
	}
}

func (s *State) tickPause() {
	if s.pause.confirming && !s.now.Before(s.pause.until) {
		s.endConfirmation()
	}
}

// confirmed ends the wait and starts the requests that were held back.
func (s *State) endConfirmation() {
	if !s.pause.confirming {
		return
	}
	s.pause.confirming = false
	for _, name := range sortedKeys(s.services) {
		s.drainQueue(s.services[name])
	}
}
