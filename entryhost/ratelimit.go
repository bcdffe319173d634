package entryhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// callSpacing lets ten hosts that start together stay within the 2,000
	// calls per second that the configuration service takes.
	callSpacing = 5 * time.Millisecond
	// While calls fail, they are spaced by a time that doubles from
	// minFailureSpacing to maxFailureSpacing.
	minFailureSpacing = 100 * time.Millisecond
	maxFailureSpacing = 5 * time.Second
)

// rateLimiter bounds the rate of calls to the platform.
type rateLimiter struct {
	mu       sync.Mutex
	next     time.Time
	failures int
	// recovered is closed and replaced when a call succeeds after failures.
	recovered chan struct{}
}

func newRateLimiter() *rateLimiter { return &rateLimiter{recovered: make(chan struct{})} }

// wait returns when the next call may be made, or with the error of ctx.
func (g *rateLimiter) wait(ctx context.Context) error {
	for {
		at, recovered := g.reserve()
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

// reserve takes the place of one call in time.
func (g *rateLimiter) reserve() (time.Time, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := time.Now()
	if g.next.After(at) {
		at = g.next
	}
	g.next = at.Add(g.spacing())
	return at, g.recovered
}

// spacing has jitter while calls fail, so that the hosts do not return in
// step.
func (g *rateLimiter) spacing() time.Duration {
	if g.failures == 0 {
		return callSpacing
	}
	spacing := min(minFailureSpacing<<min(g.failures-1, 10), maxFailureSpacing)
	return spacing/2 + rand.N(spacing/2)
}

// record takes the result of a call.
func (g *rateLimiter) record(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok {
		g.failures++
		if g.failures == 1 {
			g.next = time.Now().Add(g.spacing())
		}
		return
	}
	if g.failures == 0 {
		return
	}
	g.failures = 0
	g.next = time.Now()
	close(g.recovered)
	g.recovered = make(chan struct{})
}
