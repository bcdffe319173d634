package runtime

import (
	"sync"

	"wisteriapond/core"
)

// Attempt is what the control goroutine can do to an attempt under way. Its
// methods must not block.
type Attempt interface {
	// Cancel ends the attempt by closing its connection.
	Cancel()
	// SetRate changes the pacing of a long answer, in bytes per second; 0
	// means no pacing.
	SetRate(bytesPerSecond int64)
}

// Ticket connects a request's traffic goroutine with the control goroutine.
type Ticket struct {
	ID core.RequestID
	// Commands carries StartAttempt, PassAnswer, Refuse and Fail effects. At
	// most one command is outstanding, so the control goroutine never blocks.
	// It is closed when the loop ended before the request did.
	Commands chan core.Effect

	// streaming belongs to the control goroutine. It is set while an answer
	// is passed on as it comes in, so that its ticket outlives PassAnswer.
	streaming bool

	mu              sync.Mutex
	attempt         Attempt
	attemptNumber   int
	canceledThrough int
	rate            int64
	rateAttempt     int
}

func newTicket(id core.RequestID) *Ticket {
	return &Ticket{ID: id, Commands: make(chan core.Effect, 1)}
}

// Attach names the attempt under way. A cancel or a rate that came before
// takes effect at once.
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

// abandon ends a request that the reducer can no longer end.
func (t *Ticket) abandon() {
	close(t.Commands)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempt != nil {
		t.attempt.Cancel()
	}
	// An attempt that starts from now on is cancelled by Attach.
	t.canceledThrough = maxAttemptNumber
}
