package runtime

import (
	"sync"

	"wisteriapond/core"
)

const (
	// arrivalLimit is the number of queued events at which new requests are
	// rejected without being run.
	arrivalLimit = 1 << 16
	// eventLimit is the number of queued events at which senders of any event
	// block. It is greater than arrivalLimit, so that events that end requests
	// are still accepted when new requests are rejected.
	eventLimit = 1 << 18
)

// queuedEvent is an event that waits for the control goroutine. The ticket is
// set for an event that starts a request.
type queuedEvent struct {
	event  core.Event
	ticket *Ticket
}

// mailbox is a bounded queue of events with many writers and one reader.
type mailbox struct {
	mu      sync.Mutex
	notFull *sync.Cond
	events  []queuedEvent
	closed  bool
	// wake receives a token when events becomes non-empty, so that the reader
	// blocks on a channel instead of polling.
	wake chan struct{}
}

func newMailbox() *mailbox {
	m := &mailbox{wake: make(chan struct{}, 1)}
	m.notFull = sync.NewCond(&m.mu)
	return m
}

// offer appends the arrival of a request without blocking. It returns false if
// arrivalLimit is reached or the mailbox is closed.
func (m *mailbox) offer(queued queuedEvent) bool {
	m.mu.Lock()
	if m.closed || len(m.events) >= arrivalLimit {
		m.mu.Unlock()
		return false
	}
	m.appendAndUnlock(queued)
	return true
}

// put appends an event and blocks while eventLimit is reached. After close it
// drops the event.
func (m *mailbox) put(queued queuedEvent) {
	m.mu.Lock()
	for len(m.events) >= eventLimit && !m.closed {
		m.notFull.Wait()
	}
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.appendAndUnlock(queued)
}

// appendAndUnlock appends an event, unlocks the mailbox, and wakes the reader if
// the mailbox was empty.
func (m *mailbox) appendAndUnlock(queued queuedEvent) {
	m.events = append(m.events, queued)
	wasEmpty := len(m.events) == 1
	m.mu.Unlock()
	if !wasEmpty {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// drain returns all queued events. It replaces their slice by buffer, whose
// elements it clears first.
func (m *mailbox) drain(buffer []queuedEvent) []queuedEvent {
	clear(buffer)
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = buffer[:0]
	m.notFull.Broadcast()
	return events
}

// close makes the mailbox reject further events, and returns the queued ones.
func (m *mailbox) close() []queuedEvent {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.notFull.Broadcast()
	events := m.events
	m.events = nil
	return events
}
