package core

import (
	"cmp"
	"slices"
	"time"

	"wisteriapond/outcome"
	"wisteriapond/pick"
	"wisteriapond/queue"
)

// maxSetAside bounds how many waiting requests are passed over because the
// free upstream is one that they have tried.
const maxSetAside = 4

// wait puts a request into the queue, or refuses it at once when it would not
// be answered in time.
func (s *State) wait(r *request) {
	svc := r.service
	if svc.waiting >= svc.config.Queue {
		s.refuseRequest(r, outcome.RefusedQueueFull)
		return
	}
	if r.route != nil && !s.canMeetGoal(r) {
		// Slots are for those that can still be in time.
		s.refuseRequest(r, outcome.RefusedOverload)
		return
	}
	if r.route == nil && s.lateAfter(r, s.expectedWait(r, s.capacity(r))) {
		s.refuseRequest(r, outcome.RefusedDeadline)
		return
	}
	s.count(CounterQueued, svc.config.Name)
	s.enqueue(r)
	s.setTimer(&r.alarm, r.deadline)
	s.checkQueueBy(svc, s.nextCheck(svc))
	s.requestSlots(svc)
}

// expectedWait estimates how long a request waits when all slots are taken:
// those with an earlier deadline go first.
func (s *State) expectedWait(r *request, capacity int) time.Duration {
	occupy := r.service.usualFor(r.group.long).occupy.Value()
	if occupy == 0 {
		return 0
	}
	limit := r.service.waiting
	ahead := 0
	for _, g := range r.service.waitingGroups {
		ahead += g.waiting.CountUntil(int64(r.deadline), limit-ahead)
	}
	if r.place.Queued() {
		ahead-- // It does not wait for itself.
	}
	return occupy * time.Duration(ahead+1) / time.Duration(max(1, capacity))
}

// capacity is the number of slots that requests like r may take on this host.
func (s *State) capacity(r *request) int {
	total := 0
	for _, u := range r.group.eligible {
		if u.leaving || u.health.Ejected() {
			continue
		}
		limit, _ := s.room(r.group, u)
		total += limit
	}
	return total
}

// lateAfter reports whether a request that starts after the given wait is
// expected to be answered after its deadline.
func (s *State) lateAfter(r *request, wait time.Duration) bool {
	respond := r.service.usualFor(r.group.long).respond.Value()
	return r.deadline.Before(s.now.Add(wait + respond))
}

// tooLate reports whether a request cannot be answered in time even if it
// starts now. Each such request lowers the estimate a little: if all were
// refused, no answer could show that the backend servers are fast again.
func (s *State) tooLate(r *request) bool {
	if !s.now.Before(r.deadline) {
		return true
	}
	if !s.lateAfter(r, 0) {
		return false
	}
	r.service.usualFor(r.group.long).respond.Add(r.deadline.Sub(s.now))
	return true
}

func (s *State) enqueue(r *request) {
	svc, g := r.service, r.group
	r.queuedAt = s.now
	r.place = queue.Item[*request]{Value: r, At: int64(r.deadline)}
	if r.route != nil {
		r.place.At = int64(r.goalAt())
	}
	if g.waiting.Len() == 0 {
		svc.waitingGroups = append(svc.waitingGroups, g)
	}
	g.waiting.Add(&r.place)
	svc.waiting++
}

// leaveQueue takes a request out of the queue, if it is there, and stops its
// timer.
func (s *State) leaveQueue(r *request) {
	s.timers.Remove(&r.alarm)
	if !r.place.Queued() {
		return
	}
	svc, g := r.service, r.group
	g.waiting.Remove(&r.place)
	svc.waiting--
	if svc.waiting == 0 {
		s.withdrawSlots(svc)
	}
	if g.waiting.Len() == 0 {
		svc.waitingGroups = slices.DeleteFunc(svc.waitingGroups, func(other *group) bool { return other == g })
	}
}

// drainQueue starts waiting requests while slots are free for them.
func (s *State) drainQueue(svc *service) {
	for svc.waiting > 0 && s.startWaiting(svc, nil) {
	}
}

// drainLater looks at the queue of a service when the step ends. One event may
// change several hosts, and no request may start on a host of which the
// same event says that it is leaving.
func (s *State) drainLater(svc *service) {
	if !svc.drainDue {
		svc.drainDue = true
		s.drains = append(s.drains, svc)
	}
}

// drainDue looks at the queues that a step changed.
func (s *State) drainDue() {
	for _, svc := range s.drains {
		svc.drainDue = false
		s.drainQueue(svc)
	}
	clear(s.drains)
	s.drains = s.drains[:0]
}

// drainUpstream starts waiting requests after a slot of u became free.
func (s *State) drainUpstream(u *upstream) {
	for u.service.waiting > 0 && s.startWaiting(u.service, u) {
	}
}

// startWaiting starts or refuses one waiting request, and reports whether it
// did. Groups take turns by the deadline of their first request, so that one
// kind of request that cannot start holds up no other. With freed set, only
// groups that may use it are looked at.
func (s *State) startWaiting(svc *service, freed *upstream) bool {
	if len(svc.waitingGroups) > 1 {
		slices.SortStableFunc(svc.waitingGroups, func(a, b *group) int {
			return cmp.Compare(a.waiting.First().At, b.waiting.First().At)
		})
	}
	for _, g := range svc.waitingGroups {
		if freed != nil && !g.allows(freed) {
			continue
		}
		if s.startFromGroup(g) {
			return true
		}
	}
	return false
}

// startFromGroup tries the first requests of a group. Those of a group differ
// only in the upstreams that they have tried.
func (s *State) startFromGroup(g *group) bool {
	var aside [maxSetAside]*queue.Item[*request]
	n := 0
	done := false
	for !done && n < maxSetAside && g.waiting.Len() > 0 {
		place := g.waiting.First()
		if s.startOrRefuse(place.Value) {
			done = true
			break
		}
		if place.Value.attempts == 0 {
			break
		}
		g.waiting.Remove(place)
		aside[n] = place
		n++
	}
	for _, place := range aside[:n] {
		g.waiting.Return(place)
	}
	return done
}

// startOrRefuse ends the wait of a request if it can start or is too late.
func (s *State) startOrRefuse(r *request) bool {
	if s.lateAfter(r, 0) {
		s.refuseRequest(r, outcome.RefusedDeadline)
		return true
	}
	u, usable := s.choose(r)
	if !usable {
		s.refuseRequest(r, outcome.RefusedNoHost)
		return true
	}
	if u == nil && r.route != nil && !s.canMeetGoal(r) {
		s.refuseRequest(r, outcome.RefusedOverload)
		return true
	}
	if u == nil {
		return false
	}
	s.leaveQueue(r)
	s.startAttempt(r, u)
	return true
}

// waitEnded handles the timer of a request: a pause between attempts is over,
// or the deadline of a queued request has come.
func (s *State) waitEnded(r *request) {
	if r.place.Queued() {
		s.refuseRequest(r, outcome.RefusedDeadline)
		return
	}
	s.dispatch(r)
}

// checkQueueBy makes sure that the queue of a service is looked at by the
// given instant: the end of a wait or a warm-up frees slots without an event.
func (s *State) checkQueueBy(svc *service, at Instant) {
	if svc.alarm.Queued() && Instant(svc.alarm.At) <= at {
		return
	}
	s.setTimer(&svc.alarm, at)
}

// nextCheck returns when the queue of a service has to be looked at again.
func (s *State) nextCheck(svc *service) Instant {
	next := s.now.Add(TickInterval)
	if s.self.Registry != nil {
		return s.now.Add(queueRecheckInterval)
	}
	for _, u := range svc.upstreams {
		if u.locality == pick.OtherRegion {
			next = min(next, s.now.Add(extraRoundTrip))
		}
		if s.now.Before(u.notBefore) {
			next = min(next, u.notBefore)
		}
	}
	return next
}

func (s *State) serviceDue(svc *service) {
	s.drainQueue(svc)
	if svc.waiting > 0 && s.self.Registry != nil {
		s.queryLoadsForQueue(svc)
	}
	if svc.waiting > 0 {
		s.checkQueueBy(svc, s.nextCheck(svc))
		s.requestSlots(svc)
	}
}

// refuseWaiting refuses every waiting request of a service.
func (s *State) refuseWaiting(svc *service, reason outcome.Refusal) {
	for len(svc.waitingGroups) > 0 {
		s.refuseRequest(svc.waitingGroups[0].waiting.First().Value, reason)
	}
	s.timers.Remove(&svc.alarm)
}
