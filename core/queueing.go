package core

import (
	"cmp"
	"slices"
	"time"

	"wisteriapond/outcome"
	"wisteriapond/pick"
	"wisteriapond/queue"
)

// maxSkipped bounds the number of waiting requests that are skipped because they
// have already tried the free upstream.
const maxSkipped = 4

// enqueueOrRefuse adds a request to the queue, or refuses it at once if the queue
// is full or the response would be late.
func (s *State) enqueueOrRefuse(r *request) {
	svc := r.service
	if svc.waiting >= svc.config.Queue {
		s.refuseRequest(r, outcome.RefusedQueueFull)
		return
	}
	wait := s.untilAccepted(r)
	if r.route != nil && !s.canMeetGoalAfter(r, wait) {
		// Slots are kept for requests that can still be on time.
		s.refuseRequest(r, outcome.RefusedUpstreamsOverloaded)
		return
	}
	if r.route == nil && s.wouldMissDeadline(r, max(wait, s.expectedWait(r, s.capacity(r)))) {
		s.refuseRequest(r, outcome.RefusedDeadline)
		return
	}
	s.count(CounterQueued, svc.config.Name)
	s.enqueue(r)
	s.setTimer(&r.timer, r.deadline)
	s.scheduleQueueCheck(svc, s.nextQueueCheck(svc))
	s.requestSlots(svc)
}

// expectedWait estimates how long a request waits while all slots are taken.
// Requests with an earlier deadline start first.
func (s *State) expectedWait(r *request, capacity int) time.Duration {
	occupancy := r.service.durationsFor(r.group.long).occupancy.Value()
	if occupancy == 0 {
		return 0
	}
	limit := r.service.waiting
	ahead := 0
	for _, g := range r.service.waitingGroups {
		ahead += g.waiting.CountUpTo(int64(r.deadline), limit-ahead)
	}
	if r.queueItem.Queued() {
		ahead-- // CountUpTo also counts the request itself.
	}
	return occupancy * time.Duration(ahead+1) / time.Duration(max(1, capacity))
}

// capacity returns the number of slots that this host may use for the group of r.
func (s *State) capacity(r *request) int {
	total := 0
	for _, u := range r.group.eligible {
		if u.leaving || u.health.Ejected() {
			continue
		}
		limit, _ := s.groupLimit(r.group, u)
		total += limit
	}
	return total
}

// wouldMissDeadline reports whether the response to a request that starts after
// the given wait is expected after its deadline.
func (s *State) wouldMissDeadline(r *request, wait time.Duration) bool {
	response := r.service.durationsFor(r.group.long).response.Value()
	return r.deadline.Before(s.now.Add(wait + response))
}

// tooLateToStart reports whether a request is expected to miss its deadline even
// if it starts now. Each such request lowers the estimated response time a
// little: if all requests were refused, no response could show that the backend
// servers have become fast again.
func (s *State) tooLateToStart(r *request) bool {
	if !s.now.Before(r.deadline) {
		return true
	}
	if !s.wouldMissDeadline(r, 0) {
		return false
	}
	r.service.durationsFor(r.group.long).response.Add(r.deadline.Sub(s.now))
	return true
}

// enqueue adds a request to the queue of its group. The queue is ordered by the
// instants at which the goals of the routes end, or by deadline if the requests
// have no route.
func (s *State) enqueue(r *request) {
	svc, g := r.service, r.group
	r.queuedAt = s.now
	r.queueItem = queue.Item[*request]{Value: r, At: int64(r.deadline)}
	if r.route != nil {
		r.queueItem.At = int64(r.goalAt())
	}
	if g.waiting.Len() == 0 {
		svc.waitingGroups = append(svc.waitingGroups, g)
	}
	g.waiting.Add(&r.queueItem)
	svc.waiting++
}

// dequeue removes a request from the queue, if it is queued, and stops its timer.
func (s *State) dequeue(r *request) {
	s.timers.Remove(&r.timer)
	if !r.queueItem.Queued() {
		return
	}
	svc, g := r.service, r.group
	g.waiting.Remove(&r.queueItem)
	svc.waiting--
	if svc.waiting == 0 {
		s.withdrawSlots(svc)
	}
	if g.waiting.Len() == 0 {
		svc.waitingGroups = slices.DeleteFunc(svc.waitingGroups, func(other *group) bool { return other == g })
	}
}

// drainQueue starts waiting requests as long as slots are free for them.
func (s *State) drainQueue(svc *service) {
	for svc.waiting > 0 && s.startNextWaiting(svc, nil) {
	}
}

// scheduleDrain schedules draining the queue of a service for the end of the
// step. One event may change several hosts, and no request may start on a host
// that the same event marks as leaving.
func (s *State) scheduleDrain(svc *service) {
	if !svc.drainScheduled {
		svc.drainScheduled = true
		s.scheduledDrains = append(s.scheduledDrains, svc)
	}
}

// runScheduledDrains drains the queues of the services scheduled in this step.
func (s *State) runScheduledDrains() {
	for _, svc := range s.scheduledDrains {
		svc.drainScheduled = false
		s.drainQueue(svc)
	}
	clear(s.scheduledDrains)
	s.scheduledDrains = s.scheduledDrains[:0]
}

// startWaitingOn starts waiting requests after a slot of u became free.
func (s *State) startWaitingOn(u *upstream) {
	for u.service.waiting > 0 && s.startNextWaiting(u.service, u) {
	}
}

// startNextWaiting starts or refuses one waiting request, and reports whether it
// did. Groups are tried in the order of the deadline, or goal, of their first
// request, so that a group that cannot start does not block the others. With freed
// set, only groups for which that upstream is eligible are considered.
func (s *State) startNextWaiting(svc *service, freed *upstream) bool {
	if len(svc.waitingGroups) > 1 {
		slices.SortStableFunc(svc.waitingGroups, func(a, b *group) int {
			return cmp.Compare(a.waiting.First().At, b.waiting.First().At)
		})
	}
	for _, g := range svc.waitingGroups {
		if freed != nil && !g.isEligible(freed) {
			continue
		}
		if s.startFromGroup(g) {
			return true
		}
	}
	return false
}

// startFromGroup starts or refuses one of the first requests of a group, and
// reports whether it did. Requests of a group differ only in the upstreams that
// they have tried, so that only those with attempts are skipped.
func (s *State) startFromGroup(g *group) bool {
	var skipped [maxSkipped]*queue.Item[*request]
	n := 0
	done := false
	for !done && n < maxSkipped && g.waiting.Len() > 0 {
		item := g.waiting.First()
		if s.startOrRefuse(item.Value) {
			done = true
			break
		}
		if item.Value.attempts == 0 {
			break
		}
		g.waiting.Remove(item)
		skipped[n] = item
		n++
	}
	for _, item := range skipped[:n] {
		requeue(item.Value)
	}
	return done
}

// requeue returns a skipped request to its place in the queue. Its group has left the
// list of those with waiting requests if the only other request in it was started or
// refused meanwhile.
func requeue(r *request) {
	svc, g := r.service, r.group
	g.waiting.Requeue(&r.queueItem)
	if !slices.Contains(svc.waitingGroups, g) {
		svc.waitingGroups = append(svc.waitingGroups, g)
	}
}

// startOrRefuse starts a waiting request, or refuses it if it would be late or no
// upstream can take it. It returns false if the request has to go on waiting.
func (s *State) startOrRefuse(r *request) bool {
	if s.wouldMissDeadline(r, 0) {
		s.refuseRequest(r, outcome.RefusedDeadline)
		return true
	}
	u, usable := s.chooseUpstream(r)
	if !usable {
		s.refuseRequest(r, outcome.RefusedNoHost)
		return true
	}
	if u == nil && r.route != nil && !s.canMeetGoalAfter(r, s.untilAccepted(r)) {
		s.refuseRequest(r, outcome.RefusedUpstreamsOverloaded)
		return true
	}
	if u == nil {
		return false
	}
	s.dequeue(r)
	s.startAttempt(r, u)
	return true
}

// requestTimerFired handles the timer of a request: the deadline of a queued
// request has passed, or the wait before an attempt is over.
func (s *State) requestTimerFired(r *request) {
	if r.queueItem.Queued() {
		s.refuseRequest(r, outcome.RefusedDeadline)
		return
	}
	s.dispatch(r)
}

// scheduleQueueCheck makes sure that the queue of a service is checked by the
// given instant, since the end of a backoff or of a warm-up step frees slots
// without an event.
func (s *State) scheduleQueueCheck(svc *service, at Instant) {
	if svc.timer.Queued() && Instant(svc.timer.At) <= at {
		return
	}
	s.setTimer(&svc.timer, at)
}

// nextQueueCheck returns the instant at which the queue of a service has to be
// checked again.
func (s *State) nextQueueCheck(svc *service) Instant {
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

// checkQueue handles the timer of a service with waiting requests.
func (s *State) checkQueue(svc *service) {
	s.drainQueue(svc)
	if svc.waiting > 0 && s.self.Registry != nil {
		s.queryLoadsForQueue(svc)
	}
	if svc.waiting > 0 {
		s.scheduleQueueCheck(svc, s.nextQueueCheck(svc))
		s.requestSlots(svc)
	}
}

// refuseWaiting refuses every waiting request of a service.
func (s *State) refuseWaiting(svc *service, reason outcome.Refusal) {
	for len(svc.waitingGroups) > 0 {
		s.refuseRequest(svc.waitingGroups[0].waiting.First().Value, reason)
	}
	s.timers.Remove(&svc.timer)
}
