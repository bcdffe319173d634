package runtime

import (
	"sync"

	"wisteriapond/core"
)

// Ticket connects a request's traffic goroutine with the control goroutine.
type Ticket struct {
	ID core.RequestID
	// Commands carries StartAttempt, PassAnswer, Refuse and Fail effects. At
	// most one command is outstanding, so the control goroutine never blocks.
	Commands chan core.Effect
	// Service and Last are set before a command is sent: the service of the
	// request, empty while it has none, and the command.
	Service string
	Last    core.Effect

	mu       sync.Mutex
	cancel   func()
	setRate  func(int64)
	canceled int
}

// note is called by the control goroutine. The channel of commands orders it
// before the reads of the traffic goroutine.
func (t *Ticket) note(effect core.Effect) {
	t.Last = effect
	switch e := effect.(type) {
	case core.StartAttempt:
		t.Service = e.Service
	case core.Refuse:
		t.Service = e.Service
	case core.Fail:
		t.Service = e.Service
	}
}

// OnCancel sets what ends the attempt with the given number. When that attempt
// was already cancelled, cancel runs at once.
func (t *Ticket) OnCancel(number int, cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel = cancel
	if t.canceled >= number && cancel != nil {
		cancel()
	}
}

// OnRate sets what changes the pacing of the answer under way.
func (t *Ticket) OnRate(setRate func(int64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setRate = setRate
}

func (t *Ticket) cancelAttempt(number int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.canceled = max(t.canceled, number)
	if t.cancel != nil {
		t.cancel()
	}
}

func (t *Ticket) changeRate(rate int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.setRate != nil {
		t.setRate(rate)
	}
}
