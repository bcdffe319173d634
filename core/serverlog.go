package core

import "strconv"

// deferServerLog logs a server change at the end of the step.
func (s *State) deferServerLog(change unloggedChange) {
	s.registry.unloggedChanges = append(s.registry.unloggedChanges, change)
}

// maxServerLogEntries is the number of changes in a step up to which each
// server gets a log entry. A listing changes all servers, and that many log
// entries would slow down the start of a small host.
const maxServerLogEntries = 16

// unloggedChange is a server change that has no log entry yet. state is the new
// state of the server, or the reason for its removal.
type unloggedChange struct {
	id, service, state string
	removed            bool
}

// logServerChanges logs the server changes of an event, one by one or as
// totals.
func (s *State) logServerChanges() {
	changes := s.registry.unloggedChanges
	if len(changes) == 0 {
		return
	}
	s.registry.unloggedChanges = nil
	revision := LogField{Key: "revision", Value: strconv.FormatUint(s.registry.revision, 10)}
	removed := 0
	for _, change := range changes {
		if change.removed {
			removed++
		}
		if len(changes) > maxServerLogEntries {
			continue
		}
		message := "backend server changed"
		if change.removed {
			message = "backend server removed"
		}
		s.out.add(Log{Message: message, Fields: []LogField{
			{Key: "server", Value: change.id},
			{Key: "service", Value: change.service},
			{Key: "state", Value: change.state},
			revision,
		}})
	}
	if len(changes) > maxServerLogEntries {
		s.out.add(Log{Message: "backend servers changed", Fields: []LogField{
			{Key: "changed", Value: strconv.Itoa(len(changes) - removed)},
			{Key: "removed", Value: strconv.Itoa(removed)},
			{Key: "known", Value: strconv.Itoa(len(s.registry.servers))},
			revision,
		}})
	}
}

func leavingText(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "ready"
}
