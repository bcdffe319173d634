package warmup

import "time"

// Spacing keeps one host to its share of the rate of a cold server where servers do
// not report their warm-up: the rate divided by the number of hosts. Two requests of
// a host lie at least one spacing apart, and the first one follows a random part of
// it, so that hosts which learn of the server at the same time do not send at the
// same time. The number of hosts is the largest that may run, so that hosts which
// are split or disagree never exceed the rate.
type Spacing struct {
	next time.Duration
}

// NewSpacing returns the state of a warm-up that this host learns of now. draw
// returns a random number in [0, n).
func NewSpacing(now time.Duration, rate, hosts int, draw func(n int) int) *Spacing {
	return &Spacing{next: now + time.Duration(draw(int(spacing(rate, hosts))))}
}

// Wait returns the time until the next request.
func (s *Spacing) Wait(now time.Duration) time.Duration { return max(0, s.next-now) }

// Take records a request that is sent now.
func (s *Spacing) Take(now time.Duration, rate, hosts int) { s.next = now + spacing(rate, hosts) }

func spacing(rate, hosts int) time.Duration {
	return max(1, time.Second*unit*time.Duration(max(1, hosts))/time.Duration(rate))
}
