package core

import (
	"strconv"
	"time"

	"wisteriapond/intake"
)

// CallersCounted reports a census of the connections from callers. It is sent only
// while something is short.
type CallersCounted struct {
	Census intake.Census
}

// DescriptorsShort reports that a listener could not accept a connection for lack of
// descriptors or memory.
type DescriptorsShort struct {
	// Listener is who connects there: callers, operators or hosts.
	Listener string
}

// CloseCallers closes connections from callers. A closure whose connection has moved
// to another phase since the census does not apply.
type CloseCallers struct {
	Closures []intake.Closure
}

// CloseAllIdle closes the pooled connections to all addresses.
type CloseAllIdle struct{}

func (CallersCounted) event()   {}
func (DescriptorsShort) event() {}
func (CloseCallers) effect()    {}
func (CloseAllIdle) effect()    {}

// shortageLogInterval is the shortest time between two log entries on shortages.
const shortageLogInterval = 10 * time.Second

// callers is the state of the decisions on connections from callers.
type callers struct {
	bounds intake.Bounds
	// loggedAt is when a shortage was last logged, and closed the number of
	// connections closed since then.
	loggedAt Instant
	logged   bool
	closed   int
}

func (s *State) callersCounted(e CallersCounted) {
	shortages := s.callers.bounds.Shortages(&e.Census)
	if len(shortages) == 0 {
		return
	}
	for _, shortage := range shortages {
		s.count(CounterShortages, string(shortage))
	}
	closures := s.callers.bounds.Decide(&e.Census)
	for _, closure := range closures {
		s.count(CounterCallersClosed, string(closure.Reason))
	}
	s.callers.closed += len(closures)
	if len(closures) > 0 {
		s.out.add(CloseCallers{Closures: closures})
	}
	s.logShortage("callers hold too much: connections are closed", LogField{Key: "shortage", Value: string(shortages[0])})
}

// descriptorsShort makes room at once: an idle connection to a backend server costs
// nothing to close.
func (s *State) descriptorsShort(e DescriptorsShort) {
	s.count(CounterShortages, string(intake.ShortOfDescriptors))
	s.out.add(CloseAllIdle{})
	s.logShortage("no descriptors left: connections wait to be accepted", LogField{Key: "listener", Value: e.Listener})
}

func (s *State) logShortage(message string, field LogField) {
	c := &s.callers
	if c.logged && s.now.Sub(c.loggedAt) < shortageLogInterval {
		return
	}
	s.out.add(Log{Level: LogWarn, Message: message, Fields: []LogField{field, {Key: "closed", Value: strconv.Itoa(c.closed)}}})
	c.logged, c.loggedAt, c.closed = true, s.now, 0
}
