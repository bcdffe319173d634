package runtime

import (
	"sync"

	"wisteriapond/core"
)

// Attempt allows the control goroutine to control a running attempt. Its
// methods must not block.
type Attempt interface {
	// Cancel ends the attempt by closing its connection.
	Cancel()
	// SetRate limits the transfer rate of a long response, in bytes per second.
	// 0 means no limit.
	SetRate(bytesPerSecond int64)
}

// Ticket connects a request's traffic goroutine with the control goroutine.
type Ticket struct {
	ID core.RequestID
	// Commands carries StartAttempt, PassAnswer, Refuse, Defer and Fail effects. At
	// most one command is outstanding, so that the control goroutine never
	// blocks. The channel is closed if the request is abandoned, for example
	// because the loop ends before the request.
	Commands chan core.Effect

	// streaming is accessed only by the control goroutine. It is set while a
	// response is streamed to the caller; the ticket is then kept after
	// PassAnswer.
	streaming bool

	mu            sync.Mutex
	attempt       Attempt
	attemptNumber int
	// canceledThrough is the highest number of a canceled attempt; attempts with
	// lower numbers are canceled as well.
	canceledThrough int
	// rate is the last requested transfer rate, in bytes per second, and
	// rateAttempt the number of the attempt that it applies to.
	rate        int64
	rateAttempt int
}

func newTicket(id core.RequestID) *Ticket {
	return &Ticket{ID: id, Commands: make(chan core.Effect, 1)}
}

// Attach sets the running attempt. A cancellation or rate that was requested for
// it earlier takes effect immediately.
func (t *Ticket) Attach(number int, attempt Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attemptNumber = number
	t.attempt = attempt
	if t.rateAttempt == number {
		attempt.SetRate(t.rate)
	}
	if t.canceledThrough >= number {
		attempt.Cancel()
	}
}

func (t *Ticket) cancelAttempt(number int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.canceledThrough = max(t.canceledThrough, number)
	if t.attempt != nil && t.attemptNumber <= number {
		t.attempt.Cancel()
	}
}

func (t *Ticket) changeRate(number int, rate int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rateAttempt = number
	t.rate = rate
	if t.attempt != nil && t.attemptNumber == number {
		t.attempt.SetRate(rate)
	}
}

// abandon ends a request that can receive no further commands.
func (t *Ticket) abandon() {
	close(t.Commands)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempt != nil {
		t.attempt.Cancel()
	}
	// Attach cancels any attempt that starts later.
	t.canceledThrough = maxAttemptNumber
}
