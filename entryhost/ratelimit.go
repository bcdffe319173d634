package entryhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// callSpacing is the minimum time between two calls. It keeps ten hosts that
	// start at the same time within the limit of the configuration service of
	// 2,000 calls per second.
	callSpacing = 5 * time.Millisecond
	// While calls fail, the time between two calls doubles from
	// minFailureSpacing up to maxFailureSpacing.
	minFailureSpacing = 100 * time.Millisecond
	maxFailureSpacing = 5 * time.Second
)

// rateLimiter limits the rate of calls to the platform, and backs off while they
// fail.
type rateLimiter struct {
	mu       sync.Mutex
	next     time.Time
	failures int
	// recovered is closed and replaced when a call succeeds after failures.
	recovered chan struct{}
}

func newRateLimiter() *rateLimiter { return &rateLimiter{recovered: make(chan struct{})} }

// wait blocks until the next call may be made. It returns an error only if ctx
// is done.
func (l *rateLimiter) wait(ctx context.Context) error {
	for {
		at, recovered := l.reserve()
		timer := time.NewTimer(time.Until(at))
		select {
		case <-timer.C:
			return nil
		case <-recovered:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// reserve reserves the time of the next call and returns it.
func (l *rateLimiter) reserve() (time.Time, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now()
	if l.next.After(at) {
		at = l.next
	}
	l.next = at.Add(l.spacing())
	return at, l.recovered
}

// spacing returns the time between two calls. While calls fail it is a random
// duration between half the backoff and the full backoff, so that the hosts do
// not retry at the same time.
func (l *rateLimiter) spacing() time.Duration {
	if l.failures == 0 {
		return callSpacing
	}
	spacing := min(minFailureSpacing<<min(l.failures-1, 10), maxFailureSpacing)
	return spacing/2 + rand.N(spacing/2)
}

// record updates the spacing with the result of a call. A success after failures
// releases the waiting calls.
func (l *rateLimiter) record(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failures++
		if l.failures == 1 {
			l.next = time.Now().Add(l.spacing())
		}
		return
	}
	if l.failures == 0 {
		return
	}
	l.failures = 0
	l.next = time.Now()
	close(l.recovered)
	l.recovered = make(chan struct{})
}
