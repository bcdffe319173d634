package core

import (
	"time"

	"wisteriapond/pick"
	"wisteriapond/queue"
)

// traffic is the part of the state that the requests of all services share.
type traffic struct {
	// upstreamsOf lists the upstreams of each backend host.
	upstreamsOf map[string][]*upstream
	timers      queue.Queue[timer]
	policy      pick.Policy
	candidates  pick.CandidateSet
	draw        pick.Draw
	// retryAfterCap is the longest wait that a backend server may request.
	retryAfterCap time.Duration
	// scheduledDrains lists the services whose queues are drained at the end of
	// the step.
	scheduledDrains []*service
	// transfers lists the long responses in progress by the region that they come
	// from.
	transfers map[string][]*request
}

func (t *traffic) init(s *State) {
	t.upstreamsOf = make(map[string][]*upstream)
	t.transfers = make(map[string][]*request)
	t.policy = pick.PreferLeased
	t.draw = s.random.intN
	t.retryAfterCap = maxRetryAfter
}

// timer is the target of a timer: a request whose wait ends, or a service whose
// queue has to be checked.
type timer struct {
	request *request
	service *service
}

// setTimer sets a timer to the given instant, whether it is set already or not.
func (s *State) setTimer(t *queue.Item[timer], at Instant) {
	s.timers.Remove(t)
	t.At = int64(at)
	s.timers.Add(t)
	if s.timers.First() == t && at.Before(s.now.Add(TickInterval)) {
		s.scheduleTick(at)
	}
}

// fireTimers handles all timers that are due and requests a Tick for the next one.
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
