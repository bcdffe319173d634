package entryhost

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("gate", func() {
	// span returns the time over which n calls would be spread.
	span := func(g *rateLimiter, n int) time.Duration {
		first, _ := g.reserve()
		last := first
		for range n {
			last, _ = g.reserve()
		}
		return last.Sub(first)
	}

	// Guards against hosts that call a service which is down, or one that all
	// of them call at once, as fast as they can.
	It("spaces calls, further apart while they fail", func() {
		Expect(span(newRateLimiter(), 100)).To(BeNumerically(">=", 100*callSpacing))
		failing := newRateLimiter()
		for range 20 {
			failing.record(false)
		}
		Expect(span(failing, 100)).To(BeNumerically(">=", 100*maxFailureSpacing/2))
		failing.record(true)
		Expect(span(failing, 100)).To(BeNumerically("<", 100*minFailureSpacing/2))
	})

	// Guards against a host that goes on waiting after the service came back.
	It("lets waiting calls go when one succeeds", func() {
		g := newRateLimiter()
		for range 20 {
			g.record(false)
		}
		g.reserve()
		g.mu.Lock()
		g.next = time.Now().Add(time.Hour)
		g.mu.Unlock()
		done := make(chan error, 1)
		go func() { done <- g.wait(context.Background()) }()
		Eventually(func() chan error {
			g.record(false)
			g.record(true)
			return done
		}).WithTimeout(waitTimeout).Should(Receive(BeNil()))
	})

	// Guards against a goroutine that outlives its host.
	It("ends a wait with its context", func() {
		g := newRateLimiter()
		g.next = time.Now().Add(time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(g.wait(ctx)).To(MatchError(context.Canceled))
	})
})

// waitTimeout bounds every wait for a condition.
const waitTimeout = 60 * time.Second
