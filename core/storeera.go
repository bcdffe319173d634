package core

// This file follows a store that has come back from a copy, in a later era.

import (
	"strconv"

	"wisteriapond/storeage"
)

// advanceTo records the position up to which the state is complete once a response is
// applied.
func (s *State) advanceTo(at storeage.Age) {
	reg := &s.registry
	switch {
	case reg.revision == 0:
		reg.entries.Enter(at)
	case at.Era > reg.era:
		s.enterEra(at)
	}
	if reg.age().Before(at) {
		reg.era, reg.revision = at.Era, at.Revision
	}
}

// enterEra begins an era of the store, which has come back from a copy. What is known
// stays in use, and entries that the copy lacks may be written again, as after an outage.
func (s *State) enterEra(at storeage.Age) {
	reg := &s.registry
	began := s.now
	if reg.heardEra == at.Era {
		began = reg.heardAt
	}
	s.count(CounterStoreEras, "")
	s.out.add(Log{Level: LogWarn, Message: "store came back from a copy", Fields: []LogField{
		{Key: "era", Value: strconv.FormatUint(at.Era, 10)},
		{Key: "revision", Value: strconv.FormatUint(at.Revision, 10)},
		{Key: "known_era", Value: strconv.FormatUint(reg.era, 10)},
		{Key: "known", Value: strconv.FormatUint(reg.revision, 10)},
	}})
	reg.era, reg.revision = at.Era, at.Revision
	reg.entries.Enter(at)
	reg.recoveredAt, reg.lossGraceUntil = began, began.Add(expiryGrace)
	clear(reg.withheld)
}

// hearEra records that the store is in the given era, and reports whether that is later
// than the era of what this host knows.
func (s *State) hearEra(era uint64) bool {
	reg := &s.registry
	if era <= reg.era || reg.revision == 0 {
		return false
	}
	if era > reg.heardEra {
		reg.heardEra, reg.heardAt = era, s.now
	}
	return true
}

// watchCrossedEras handles the response to a watch that started from a revision of an
// earlier era. The changes since that revision of the later era are not all changes
// since the copy, so the store is listed, unless another host has provided the state of
// the later era.
func (s *State) watchCrossedEras(era uint64) {
	if s.hearEra(era) {
		s.registry.listed = false
	}
	s.callStoreIfDue()
}

// age returns the position in the history of the store up to which the known state is
// complete.
func (r *registry) age() storeage.Age { return storeage.Age{Era: r.era, Revision: r.revision} }
