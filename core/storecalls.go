package core

import (
	"slices"
	"strconv"
	"time"
)

// This file keeps track of the calls to the store. A store that falls silent swallows the
// calls that it receives meanwhile, and the connections they came on: what it says after
// its return reaches only those who call it again. So a call that stays without a
// response does not keep the host from the next one.

const (
	// callOverdueAfter is the time without a response, beyond the wait of a watch,
	// after which another call is started beside a pending one. A usual call takes
	// 4 ms, one to a slow store 240 ms.
	callOverdueAfter = 500 * time.Millisecond
	// maxStoreCalls bounds the pending calls. Each ends within its time limit.
	maxStoreCalls = 8
	// maxStoreWarnings bounds the number of consecutive failures that are logged,
	// so that an outage does not produce a log entry for each call.
	maxStoreWarnings = 3
)

// StoreResponding reports that the response to a pending call, or to the next page of
// a listing, has begun to arrive.
type StoreResponding struct {
	// Call is that of the effect which started the call.
	Call uint64
}

func (StoreResponding) event() {}

// storeCall is a call to the store whose result is still due.
type storeCall struct {
	id        uint64
	startedAt Instant
	// overdueAt is the instant at which the call becomes overdue unless its response
	// begins, and overdue is set once it has.
	overdueAt Instant
	overdue   bool
	// era is the era of the revision from which a watch started.
	era uint64
	// verifies is set if the call is a listing that decides whether emptied failure
	// domains are back, see emptiedDomains.
	verifies bool
}

// storeCalls holds the pending calls in the order of their starts.
type storeCalls struct {
	lastID  uint64
	pending []storeCall
}

// add registers a call and returns its ID.
func (c *storeCalls) add(call storeCall) uint64 {
	c.lastID++
	call.id = c.lastID
	c.pending = append(c.pending, call)
	return call.id
}

func (c *storeCalls) index(id uint64) int {
	return slices.IndexFunc(c.pending, func(call storeCall) bool { return call.id == id })
}

// failed removes a call that has failed. It returns false if the call was superseded.
func (c *storeCalls) failed(id uint64) (storeCall, bool) {
	i := c.index(id)
	if i < 0 {
		return storeCall{}, false
	}
	call := c.pending[i]
	c.pending = slices.Delete(c.pending, i, i+1)
	return call, true
}

// responded removes a call that has got its response, and all that started before it:
// what they may still report is known. It returns false if the call was superseded in
// this way itself.
func (c *storeCalls) responded(id uint64) (storeCall, bool) {
	i := c.index(id)
	if i < 0 {
		return storeCall{}, false
	}
	call := c.pending[i]
	c.pending = slices.Delete(c.pending, 0, i+1)
	return call, true
}

// busy reports whether no further call may start: one is pending that may still get its
// response in time, or there are too many.
func (c *storeCalls) busy() bool {
	return len(c.pending) >= maxStoreCalls || slices.ContainsFunc(c.pending, func(call storeCall) bool { return !call.overdue })
}

// startStoreCall registers a call that the store may hold for the given time.
func (s *State) startStoreCall(call storeCall, wait time.Duration) uint64 {
	call.startedAt = s.now
	call.overdueAt = s.now.Add(wait + callOverdueAfter)
	s.scheduleTick(call.overdueAt)
	return s.registry.calls.add(call)
}

// storeResponding postpones the instant at which a call becomes overdue: a large
// listing takes its time, page by page.
func (s *State) storeResponding(e StoreResponding) {
	calls := &s.registry.calls
	i := calls.index(e.Call)
	if i < 0 || calls.pending[i].overdue {
		return
	}
	calls.pending[i].overdueAt = s.now.Add(callOverdueAfter)
	s.scheduleTick(calls.pending[i].overdueAt)
}

// tickStoreCalls treats calls that have become overdue as failed, although their
// responses are used if they still arrive.
func (s *State) tickStoreCalls() {
	calls := &s.registry.calls
	for i := range calls.pending {
		call := &calls.pending[i]
		if !call.overdue && !s.now.Before(call.overdueAt) {
			call.overdue = true
			s.storeCallMissed(call, "no response yet")
		}
	}
}

// storeResponded ends a call that has got a response, and a period of failed calls. It
// returns false if the response is to be ignored, since a later call got one before.
func (s *State) storeResponded(id uint64) (storeCall, bool) {
	reg := &s.registry
	call, pending := reg.calls.responded(id)
	if !pending {
		return call, false
	}
	if call.overdue && reg.failures > 0 {
		// It was late, not lost.
		reg.failures--
	}
	if reg.failures > 0 {
		s.recordRecovery()
		s.out.add(Log{Message: "store responds again", Fields: []LogField{
			{Key: "failures", Value: strconv.Itoa(reg.failures)},
		}})
	}
	reg.failures = 0
	return call, true
}

// storeFailed handles a failed call. If the history of the store was discarded, the store
// is listed again.
func (s *State) storeFailed(e StoreFailed) {
	reg := &s.registry
	s.count(CounterPlatformFailures, "")
	call, pending := reg.calls.failed(e.Call)
	if !pending {
		return
	}
	if s.hearEra(e.Era) {
		reg.listed = false
	}
	if e.HistoryGone {
		// The known state stays in use until the new listing arrives.
		reg.listed, reg.freshOnly = false, true
		s.out.add(Log{Level: LogWarn, Message: "store history discarded, listing again", Fields: []LogField{
			{Key: "revision", Value: strconv.FormatUint(reg.revision, 10)},
		}})
		s.callStoreIfDue()
		return
	}
	if !call.overdue {
		s.storeCallMissed(&call, e.Reason)
	}
}

// storeCallMissed records a call without a usable response. The backoff until the next
// call counts from the start of this one, since the time that it took has passed as well.
func (s *State) storeCallMissed(call *storeCall, reason string) {
	reg := &s.registry
	if reg.failures == 0 {
		reg.failingSince = call.startedAt
	}
	reg.failures++
	if reg.failures <= maxStoreWarnings {
		s.out.add(Log{Level: LogWarn, Message: "store call failed", Fields: []LogField{
			{Key: "reason", Value: reason},
			{Key: "failures", Value: strconv.Itoa(reg.failures)},
			{Key: "age", Value: s.storeStaleness().String()},
		}})
	}
	reg.nextCall = max(s.now, call.startedAt.Add(s.storeBackoff()))
	s.scheduleTick(reg.nextCall)
	s.pollRandomNeighbour()
}

// storeBackoff returns a random lower limit of the time between the start of a failed call
// and that of the next one.
func (s *State) storeBackoff() time.Duration {
	reader := s.reader()
	if reader == nil {
		backoff := min(minStoreBackoff<<min(s.registry.failures-1, 8), maxStoreBackoff)
		return s.randomBetween(backoff/2, backoff)
	}
	// Hosts of a failure domain with the same reader together call no more often than a
	// host without a reader does alone: any of them that the store serves notifies the
	// reader. Their first calls fail at about the same time, so the next ones are spread
	// over the whole time from the least backoff on.
	shared := max(minBackoffWithReader, maxStoreBackoff*time.Duration(s.readerClients(reader)))
	return s.randomBetween(minBackoffWithReader/2, shared)
}

func (s *State) randomBetween(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.intN(int(to-from)))
}

// callSoonerAsReader brings the next call forward while calls fail. This host may have
// taken the place of a reader that no longer responds, and readers call more often.
func (s *State) callSoonerAsReader() {
	reg := &s.registry
	if reg.failures == 0 {
		return
	}
	reg.nextCall = min(reg.nextCall, s.now.Add(s.storeBackoff()))
	s.scheduleTick(reg.nextCall)
}
