package core

import "time"

// This file estimates when an outage of the store ended. Entries that expired during the
// outage may be registered again for expiryGrace after it, and hosts notice its end at
// different times: the first of them knows best. So the time since then is passed on with
// the polls, also by hosts that have not noticed the end themselves.

const (
	// recoverySpread is the time within which hosts notice the end of the same outage.
	// Recoveries further apart belong to different ones.
	recoverySpread = 2 * time.Second
	// recoveryMemory is the time for which a recovery is passed on to other hosts.
	recoveryMemory = recoverySpread + expiryGrace
)

// sinceRecovery returns the time since a host, this one or another, first noticed the end
// of the last outage of the store, 0 if that is not recent.
func (s *State) sinceRecovery() time.Duration {
	reg := &s.registry
	longest := time.Duration(0)
	for _, at := range []Instant{reg.heardRecoveredAt, s.ownRecovery()} {
		if since := s.now.Sub(at); at > 0 && since <= recoveryMemory {
			longest = max(longest, since, 1)
		}
	}
	return longest
}

// ownRecovery returns the instant of the last recovery that this host noticed, 0 if there
// was none or if calls fail again.
func (s *State) ownRecovery() Instant {
	if s.registry.failures > 0 {
		return 0
	}
	return s.registry.recoveredAt
}

// recordRecovery records the end of an outage, which another host may have noticed before.
func (s *State) recordRecovery() {
	reg := &s.registry
	reg.recoveredAt = s.now
	if reg.heardRecoveredAt > reg.failingSince && s.now.Sub(reg.heardRecoveredAt) <= recoverySpread {
		reg.recoveredAt = reg.heardRecoveredAt
	}
}

// hearRecovery applies the recovery that another host noticed the given time ago, 0 for
// none.
func (s *State) hearRecovery(since time.Duration) {
	reg := &s.registry
	at := s.now.Add(-since)
	if since <= 0 || since > recoveryMemory || at <= reg.failingSince {
		return
	}
	known := reg.heardRecoveredAt
	if known == 0 || at < known && known.Sub(at) <= recoverySpread || at.Sub(known) > recoverySpread {
		reg.heardRecoveredAt = at
	}
	s.advanceRecovery(at)
}

// advanceRecovery ends the wait for expired entries sooner if this host noticed the end of
// the outage later than the given instant. Entries that a copy of the store lacks have a
// wait of their own.
func (s *State) advanceRecovery(at Instant) {
	reg := &s.registry
	own := s.ownRecovery()
	if at >= own || own.Sub(at) > recoverySpread || s.now.Before(reg.lossGraceUntil) {
		return
	}
	reg.recoveredAt = at
	for _, id := range sortedKeys(reg.pendingRemoval) {
		reg.pendingRemoval[id] = min(reg.pendingRemoval[id], at.Add(expiryGrace))
		s.scheduleTick(reg.pendingRemoval[id])
	}
}
