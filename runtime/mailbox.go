package runtime

import (
	"sync"

	"wisteriapond/core"
)

const (
	// arrivalLimit bounds the events that wait when a request arrives. At the
	// limit the request is refused as not run.
	arrivalLimit = 1 << 16
	// eventLimit bounds the events that wait in all. At the limit their
	// senders wait. It is above arrivalLimit, so that the ends of requests
	// still get in when arrivals do not.
	eventLimit = 1 << 18
)

// queuedEvent is an event on its way to the control goroutine. The ticket is set for
// events that begin a request.
type queuedEvent struct {
	event  core.Event
	ticket *Ticket
}

// mailbox is a bounded queue of events with many writers and one reader.
type mailbox struct {
	mu      sync.Mutex
	notFull *sync.Cond
	items   []queuedEvent
	closed  bool
	// wake holds one token while items is not empty, so that the reader blocks
	// on a channel and never spins.
	wake chan struct{}
}

func newMailbox() *mailbox {
	m := &mailbox{wake: make(chan struct{}, 1)}
	m.notFull = sync.NewCond(&m.mu)
	return m
}

// offer appends the arrival of a request. It reports false when the mailbox
// is full or closed.
func (m *mailbox) offer(i queuedEvent) bool {
	m.mu.Lock()
	if m.closed || len(m.items) >= arrivalLimit {
		m.mu.Unlock()
		return false
	}
	m.append(i)
	return true
}

// put appends an item and waits for room when there is none. After close it
// drops the item.
func (m *mailbox) put(i queuedEvent) {
	m.mu.Lock()
	for len(m.items) >= eventLimit && !m.closed {
		m.notFull.Wait()
	}
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.append(i)
}

// append adds an item and unlocks the mailbox.
func (m *mailbox) append(i queuedEvent) {
	m.items = append(m.items, i)
	first := len(m.items) == 1
	m.mu.Unlock()
	if !first {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// drain swaps the queued items against an empty buffer.
func (m *mailbox) drain(buffer []queuedEvent) []queuedEvent {
	clear(buffer)
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = buffer[:0]
	m.notFull.Broadcast()
	return items
}

// close lets no further items in and returns those that wait.
func (m *mailbox) close() []queuedEvent {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.notFull.Broadcast()
	items := m.items
	m.items = nil
	return items
}
