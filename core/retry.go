package core

import (
	"time"

	"wisteriapond/budget"
	"wisteriapond/health"
	"wisteriapond/outcome"
)

const (
	// retryPause is the longest wait before the second attempt; it doubles for
	// the third. The wait is random, so that requests which failed together do
	// not come back together.
	retryPause = 4 * time.Millisecond
	// maxRetryAfter caps the wait that a backend server may ask for.
	maxRetryAfter = time.Second
	// firstError and firstServerError are the lowest statuses of their kind.
	firstError       = 400
	firstServerError = 500
)

// retryReason returns why another attempt follows one that ended with these
// facts, or RetryNone. It takes the retry out of the budget.
func (s *State) retryReason(r *request, facts outcome.Facts, class outcome.Class) outcome.Retry {
	reason := outcome.RetryReason(facts, class, r.idempotent)
	if reason == outcome.RetryNone || r.gone {
		return outcome.RetryNone
	}
	if reason == outcome.RetryShed {
		r.sheds++
	}
	if withheld := s.withheld(r, facts, reason); withheld != "" {
		r.withheld = true
		s.count(CounterRetriesWithheld, string(withheld))
		return outcome.RetryNone
	}
	return reason
}

// depositRetries adds what an arriving request brings to the budgets.
func (s *State) depositRetries(r *request) {
	if r.route != nil {
		r.service.retries.SetLimit(s.self.Registry.RetryBurst)
		r.service.retries.Deposit(s.self.Registry.RetryPercent * budget.TokenTenths / percent)
		return
	}
	r.service.retries.Deposit(budget.RetryDepositTenths)
	r.service.sheds.Deposit(budget.ShedDepositTenths)
}

// budgetFor returns the budget that a retry takes from.
func (svc *service) budgetFor(reason outcome.Retry) *budget.Retries {
	if reason == outcome.RetryShed {
		return &svc.sheds
	}
	return &svc.retries
}

func (s *State) pauseBeforeRetry(r *request, reason outcome.Retry) {
	s.count(CounterRetries, string(reason))
	longest := retryPause << (r.attempts - 1)
	s.setTimer(&r.alarm, s.now.Add(time.Duration(s.random.below(int(longest)))))
}

// withheld returns the reason why a retry that the outcome would allow is not
// made. The budget comes last, so that only retries that are made use it.
func (s *State) withheld(r *request, facts outcome.Facts, reason outcome.Retry) outcome.Withheld {
	switch {
	case r.attempts >= maxAttempts, r.attempts-r.sheds >= maxUnshed && r.route == nil, !r.mayBeSent(facts):
		return outcome.WithheldAttempts
	case outcome.BodyLost(facts, r.bodyKept):
		return outcome.WithheldBody
	case s.lateAfter(r, 0):
		return outcome.WithheldDeadline
	case r.route != nil && !r.payRetry(facts):
		return outcome.WithheldBudget
	case r.route == nil && !r.service.budgetFor(reason).Withdraw():
		return outcome.WithheldBudget
	}
	return ""
}

// mayBeSent reports whether the route allows another upstream. Attempts that
// reached none do not count.
func (r *request) mayBeSent(facts outcome.Facts) bool {
	if r.route == nil {
		return true
	}
	sent := r.sent
	if facts.Wrote {
		sent++
	}
	return sent < r.route.MaxAttempts
}

// payRetry takes another arrival at the service out of the budget that all
// hosts keep together. The first arrival of a request is free.
func (r *request) payRetry(facts outcome.Facts) bool {
	return !facts.Wrote && r.sent == 0 || r.service.retries.Withdraw()
}

// noteHints takes what a backend server says about itself in an answer.
func (s *State) noteHints(u *upstream, facts outcome.Facts) {
	if facts.Told.Known {
		u.told.tell(facts.Told, s.now)
	}
	if facts.Load >= 0 && facts.Status != 0 {
		u.load = facts.Load
		u.loadAt = s.now
	}
	// On own counts, a server that sheds is mostly just full: a slot is free
	// again long before the whole second that it asks for.
	full := facts.NotRunHeader && !u.leased
	if facts.RetryAfter > 0 && facts.Status >= firstError && !full {
		s.holdOff(u, min(facts.RetryAfter, s.retryAfterCap))
	}
	if facts.Draining {
		s.markLeaving(u.config.Host)
	}
}

// holdOff sends nothing to an upstream for a while.
func (s *State) holdOff(u *upstream, wait time.Duration) {
	u.notBefore = max(u.notBefore, s.now.Add(wait))
	if u.service.waiting > 0 {
		s.checkQueueBy(u.service, u.notBefore)
	}
}

// noteResult updates the statistics of an upstream after an attempt.
func (s *State) noteResult(r *request, facts outcome.Facts, class outcome.Class) {
	u, svc := r.upstream, r.service
	if class == outcome.NotRun && facts.Wrote && !toldFree(facts) {
		s.noteShed(u)
	}
	took := s.now.Sub(r.startedAt)
	usual := svc.usualFor(r.group.long)
	if class == outcome.Answered || facts.Cause == outcome.CauseTimeout {
		// A timeout took at least as long.
		usual.occupy.Add(took)
		if !r.streaming {
			usual.respond.Add(took)
		}
	}
	if class == outcome.Answered {
		r.noteSize(facts.Bytes)
		s.noteWork(r, facts)
	}
	if u.removed {
		return
	}
	verdict := health.Unchanged
	at := time.Duration(s.now)
	switch judged := outcome.HealthOf(facts, class); {
	case judged == outcome.HealthBad:
		verdict = svc.health.Failed(&u.health, at, s.failureTime(r, took), usual.respond.Value())
	case judged == outcome.HealthGood && (r.group.long || r.streaming):
		svc.health.Responded(&u.health)
	case judged == outcome.HealthGood:
		verdict = svc.health.Succeeded(&u.health, at, took)
	}
	if verdict != health.Unchanged {
		s.count(CounterHealth, string(verdict))
	}
}

// failureTime is the time that a failure counts with. The duration of a long
// request says nothing about response times.
func (s *State) failureTime(r *request, took time.Duration) time.Duration {
	if r.group.long || r.streaming {
		return 0
	}
	return took
}

// toldFree reports whether an answer tells that a slot is free: a server that
// sheds all the same is not waited for, since its slots say nothing.
func toldFree(facts outcome.Facts) bool {
	told := &facts.Told
	return told.Known && told.Running+told.Waiting < told.Slots
}

// noteShed holds off an upstream whose slots are taken by other hosts until
// one is likely to be free. The wait is random, so that hosts which were
// refused together do not come back together.
func (s *State) noteShed(u *upstream) {
	s.count(CounterShed, u.service.config.Name)
	occupy := u.service.usualFor(false).occupy.Value()
	if occupy > 0 {
		s.holdOff(u, occupy/4+time.Duration(s.random.below(int(occupy/2+1))))
	}
}
