package entryhost

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the rate limiter", func() {
	// span returns the time between the first and the last of n further calls.
	span := func(limiter *rateLimiter, n int) time.Duration {
		first, _ := limiter.reserve()
		last := first
		for range n {
			last, _ = limiter.reserve()
		}
		return last.Sub(first)
	}

	// Guards against hosts that overload the platform, because all of them start
	// at the same time or because they retry failed calls without a pause.
	It("spaces calls, and backs off while they fail", func() {
		Expect(span(newRateLimiter(), 100)).To(BeNumerically(">=", 100*callSpacing))
		failing := newRateLimiter()
		for range 20 {
			failing.record(false)
		}
		Expect(span(failing, 100)).To(BeNumerically(">=", 100*maxFailureSpacing/2))
		failing.record(true)
		Expect(span(failing, 100)).To(BeNumerically("<", 100*minFailureSpacing/2))
	})

	// Guards against a host that still backs off after the platform has
	// recovered.
	It("releases waiting calls when a call succeeds", func() {
		limiter := newRateLimiter()
		for range 20 {
			limiter.record(false)
		}
		limiter.reserve()
		limiter.mu.Lock()
		limiter.next = time.Now().Add(time.Hour)
		limiter.mu.Unlock()
		done := make(chan error, 1)
		go func() { done <- limiter.wait(context.Background()) }()
		Eventually(func() chan error {
			limiter.record(false)
			limiter.record(true)
			return done
		}).WithTimeout(waitTimeout).Should(Receive(BeNil()))
	})

	// Guards against a goroutine that is still waiting after the host has ended.
	It("ends a wait when its context is done", func() {
		limiter := newRateLimiter()
		limiter.next = time.Now().Add(time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(limiter.wait(ctx)).To(MatchError(context.Canceled))
	})
})

// waitTimeout bounds every wait for a condition.
const waitTimeout = 60 * time.Second
