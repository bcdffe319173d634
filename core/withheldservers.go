package core

// This file judges writes of servers by their age, and withholds entries that came back
// with a copy of the store after their removal.

import (
	"time"

	"wisteriapond/storeage"
)

// replacesKnown reports whether a listed entry is that of the known server. A copy of the
// store may hold the entry of an earlier instance, which has ended.
func (s *State) replacesKnown(change ServerChange) bool {
	reg := &s.registry
	known, registered := reg.servers[change.ID]
	return !registered || change.Server == nil || change.Server.Born >= known.Born || reg.entries.Last(change.ID).Era == reg.era
}

// acceptWrite records a change as the last known write of its entry, and reports
// whether it is applied: an older write than the known one is not. A response of the
// store whose pages were read at different times, a copy of the store, or another host
// may report one.
func (s *State) acceptWrite(change *ServerChange) bool {
	reg := &s.registry
	if change.ID == "" {
		return true
	}
	write := storeage.Write{At: storeage.Age{Era: reg.era, Revision: change.Revision}, Removed: change.Server == nil}
	if server := change.Server; server != nil {
		write.Instance, write.Sequence, write.Leaving = server.Born, server.Sequence, server.Leaving
	}
	switch reg.entries.Record(change.ID, write) {
	case storeage.Outdated:
		s.count(CounterStoreUpdates, "outdated")
		return false
	case storeage.Withheld:
		s.withhold(*change)
		return false
	case storeage.ApplyLeaving:
		leaving := *change.Server
		leaving.Leaving = true
		change.Server = &leaving
	}
	delete(reg.withheld, change.ID)
	return true
}

// withheldEntry is an entry that came back with a copy of the store after its removal.
type withheldEntry struct {
	change ServerChange
	until  Instant
}

// withheldFor is the time for which such an entry is not used unless it is written
// again. It exceeds the three intervals of liveness reports after which the store
// removes the entry of a server that is gone.
const withheldFor = 10 * time.Second

func (s *State) withhold(change ServerChange) {
	reg := &s.registry
	s.count(CounterStoreUpdates, "withheld")
	until := s.now.Add(withheldFor)
	if earlier, known := reg.withheld[change.ID]; known {
		until = earlier.until
	} else {
		s.deferServerLog(unloggedChange{id: change.ID, service: change.Server.Service, state: "removed before the store came back from a copy", removed: true})
	}
	reg.withheld[change.ID] = withheldEntry{change: change, until: until}
	s.scheduleTick(until)
}

// releaseWithheld takes the withheld entries into use that the store still holds after
// withheldFor, and reports whether there are any. They count as written now, so that
// other hosts which know of their removals take them as well.
func (s *State) releaseWithheld() bool {
	reg := &s.registry
	released := false
	for _, id := range sortedKeys(reg.withheld) {
		entry := reg.withheld[id]
		if s.now.Before(entry.until) {
			continue
		}
		delete(reg.withheld, id)
		reg.entries.Release(id)
		entry.change.Revision = reg.revision
		s.changeServer(entry.change, false)
		released = true
	}
	return released
}
