package core

import (
	"time"

	"wisteriapond/pick"
	"wisteriapond/queue"
)

// traffic is the part of the state that belongs to requests of all services.
type traffic struct {
	// upstreamsOf lists the upstreams of each backend host.
	upstreamsOf map[string][]*upstream
	timers      queue.Queue[timer]
	policy      pick.Policy
	choice      pick.Choice
	draw        pick.Draw
	// retryAfterCap is the longest wait that a backend server may ask for.
	retryAfterCap time.Duration
	// drains lists the services whose queue is looked at when the step ends.
	drains []*service
	// transfers are the long answers under way from each other region.
	transfers map[string][]*request
}

func (t *traffic) init(s *State) {
	t.upstreamsOf = make(map[string][]*upstream)
	t.transfers = make(map[string][]*request)
	t.policy = pick.Held
	t.draw = s.random.below
	t.retryAfterCap = maxRetryAfter
}

// timer is something that has to happen at an instant: the end of a request's
// wait, or another look at a service's queue.
type timer struct {
	request *request
	service *service
}

// setTimer moves a timer to the given instant.
func (s *State) setTimer(alarm *queue.Item[timer], at Instant) {
	s.timers.Remove(alarm)
	alarm.At = int64(at)
	s.timers.Add(alarm)
	if s.timers.First() == alarm && at.Before(s.now.Add(TickInterval)) {
		s.scheduleTick(at)
	}
}

// fireTimers handles every timer that is due.
func (s *State) fireTimers() {
	for {
		first := s.timers.First()
		if first == nil || s.now.Before(Instant(first.At)) {
			break
		}
		s.timers.Remove(first)
		if r := first.Value.request; r != nil {
			s.waitEnded(r)
		} else {
			s.serviceDue(first.Value.service)
		}
	}
	if first := s.timers.First(); first != nil && Instant(first.At).Before(s.now.Add(TickInterval)) {
		s.scheduleTick(Instant(first.At))
	}
}
