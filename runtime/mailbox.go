package runtime

import (
	"sync"

	"wisteriapond/core"
)

// item is an event on its way to the control goroutine. The ticket is set for
// events that begin a request.
type item struct {
	event  core.Event
	ticket *Ticket
}

// mailbox is a queue of events with many writers and one reader.
type mailbox struct {
	mu    sync.Mutex
	items []item
	// wake holds one token while items is not empty, so that the reader blocks
	// on a channel and never spins.
	wake chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{wake: make(chan struct{}, 1)}
}

// put appends an item. It reports false when the mailbox already holds limit
// items; limit 0 means no limit.
func (m *mailbox) put(i item, limit int) bool {
	m.mu.Lock()
	if limit > 0 && len(m.items) >= limit {
		m.mu.Unlock()
		return false
	}
	m.items = append(m.items, i)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return true
}

// take swaps the queued items against an empty buffer.
func (m *mailbox) take(buffer []item) []item {
	clear(buffer)
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = buffer[:0]
	return items
}
