package core

import (
	"wisteriapond/pick"
	"wisteriapond/queue"
)

// traffic is the part of the state that the requests of all services share.
type traffic struct {
	// upstreamsOf lists the upstreams of each backend host.
	upstreamsOf map[string][]*upstream
	timers      queue.Queue[timerTarget]
	policy      pick.Policy
	candidates  pick.CandidateSet
	draw        pick.Draw
	// holds remembers the backoffs of upstreams that are not in the configuration,
	// by holdKey.
	holds map[string]Instant
	// scheduledDrains lists the services whose queues are drained at the end of
	// the step.
	scheduledDrains []*service
	// transfers lists the requests whose long responses from another region are in
	// progress, by that region.
	transfers map[string][]*request
}

func (t *traffic) init(s *State) {
	t.upstreamsOf = make(map[string][]*upstream)
	t.transfers = make(map[string][]*request)
	t.policy = pick.PreferLeased
	t.draw = s.random.intN
	t.holds = make(map[string]Instant)
}

// timerTarget is what a timer fires for: a request whose wait ends, or a service
// whose queue has to be checked. Exactly one of the fields is set.
type timerTarget struct {
	request *request
	service *service
}

// setTimer sets a timer to the given instant, whether it is set already or not.
func (s *State) setTimer(t *queue.Item[timerTarget], at Instant) {
	s.timers.Remove(t)
	t.At = int64(at)
	s.timers.Add(t)
	if s.timers.First() == t && at.Before(s.now.Add(TickInterval)) {
		s.scheduleTick(at)
	}
}

// fireTimers handles all timers that are due, and requests a Tick for the next one
// if that is due within TickInterval.
func (s *State) fireTimers() {
	for {
		first := s.timers.First()
		if first == nil || s.now.Before(Instant(first.At)) {
			break
		}
		s.timers.Remove(first)
		if r := first.Value.request; r != nil {
			s.requestTimerFired(r)
		} else {
			s.checkQueue(first.Value.service)
		}
	}
	if first := s.timers.First(); first != nil && Instant(first.At).Before(s.now.Add(TickInterval)) {
		s.scheduleTick(Instant(first.At))
	}
}
