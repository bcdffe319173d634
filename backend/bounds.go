package backend

import (
	"net"
	"sync/atomic"
	"time"
)

// Bounds bound what the connections and answers of all backend servers take together.
// The zero value bounds nothing.
type Bounds struct {
	// Connections is the number of open connections, idle ones included.
	Connections int
	// HeldAnswers is the size of the answers that are buffered at the same time.
	// Further answers are streamed.
	HeldAnswers int64
	// ReadBuffer is the size of the socket buffer of a connection.
	ReadBuffer int
	// OnFull, if set, is called when a connection cannot be opened for lack of room.
	OnFull func()
}

// usage counts what the bounds apply to.
type usage struct {
	open        atomic.Int64
	heldAnswers atomic.Int64
}

// takeHeld takes n bytes for an answer that is to be buffered. It reports false if
// there is no room.
func (p *Pool) takeHeld(n int64) bool {
	if p.Bounds.HeldAnswers == 0 {
		return true
	}
	if p.usage.heldAnswers.Add(n) > p.Bounds.HeldAnswers {
		p.usage.heldAnswers.Add(-n)
		return false
	}
	return true
}

// ReleaseHeld returns the bytes of a buffered answer, once it is written or dropped.
func (p *Pool) ReleaseHeld(n int64) {
	if p.Bounds.HeldAnswers > 0 {
		p.usage.heldAnswers.Add(-n)
	}
}

// takeConnection counts a connection that is about to be opened. At the bound it closes
// an idle one, to any address; without one it reports false.
func (p *Pool) takeConnection() bool {
	bound := int64(p.Bounds.Connections)
	for {
		if open := p.usage.open.Add(1); bound == 0 || open <= bound {
			return true
		}
		p.usage.open.Add(-1)
		if !p.closeOneIdle() {
			if p.Bounds.OnFull != nil {
				p.Bounds.OnFull()
			}
			return false
		}
	}
}

func (p *Pool) countClosed(n int) { p.usage.open.Add(-int64(n)) }

// closeOneIdle closes the connection that has been idle longest. It reports false if
// none is idle.
func (p *Pool) closeOneIdle() bool {
	p.mu.RLock()
	var oldest *addressPool
	for _, a := range p.addresses {
		if a.idleLongerThan(oldest) {
			oldest = a
		}
	}
	var evicted *connection
	if oldest != nil {
		evicted = oldest.popOldest()
	}
	p.mu.RUnlock()
	if evicted != nil {
		evicted.close()
		p.countClosed(1)
	}
	return evicted != nil
}

func (a *addressPool) idleLongerThan(other *addressPool) bool {
	since, ok := a.oldestIdle()
	if !ok || other == nil {
		return ok
	}
	otherSince, otherOK := other.oldestIdle()
	return !otherOK || since < otherSince
}

// oldestIdle returns when the oldest idle connection became idle, in nanoseconds.
func (a *addressPool) oldestIdle() (int64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.idle) == 0 {
		return 0, false
	}
	return a.idle[0].idleSince.UnixNano(), true
}

func (a *addressPool) popOldest() *connection {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.idle) == 0 {
		return nil
	}
	c := a.idle[0]
	a.idle = append(a.idle[:0], a.idle[1:]...)
	a.open--
	return c
}

// CloseAllIdle closes the idle connections to all addresses.
func (p *Pool) CloseAllIdle() {
	var idle []*connection
	p.mu.RLock()
	for _, a := range p.addresses {
		idle = append(idle, a.removeIdle(time.Now(), 0)...)
	}
	p.mu.RUnlock()
	for _, c := range idle {
		c.close()
	}
	p.countClosed(len(idle))
}

// setBuffer bounds the bytes that wait in the socket of a connection. A socket that
// keeps its own size still works, so errors are ignored.
func (p *Pool) setBuffer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok && p.Bounds.ReadBuffer > 0 {
		tcp.SetReadBuffer(p.Bounds.ReadBuffer)
	}
}
