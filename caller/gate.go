package caller

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wisteriapond/core"
	"wisteriapond/intake"
	"wisteriapond/runtime"
)

// censusInterval is the time between two censuses while many connections are open. A
// decision takes effect within it.
const censusInterval = 200 * time.Millisecond

// gate knows the open connections from callers. It admits new ones up to a bound,
// reports a census to the reducer while something is short, and closes the connections
// that the reducer names.
type gate struct {
	loop   *runtime.Loop
	bounds intake.Bounds
	// readBufferBytes returns the size of the read buffer of a connection that is accepted
	// now.
	readBufferBytes func() int
	// pressed holds a value while a census may be needed.
	pressed chan struct{}
	done    chan struct{}

	// streams is the number of answers that are being streamed.
	streams atomic.Int64

	mu      sync.Mutex
	changed sync.Cond
	conns   map[uint64]*conn
	lastID  uint64
	// waiting is set while a connection waits to be accepted, and serversFull once a
	// connection to a backend server could not be opened since the last census.
	waiting     bool
	serversFull bool
	closed      bool
	// accepting is set while connections may be added.
	accepting bool
}

func newGate(loop *runtime.Loop, bounds intake.Bounds, readBufferBytes func() int) *gate {
	g := &gate{
		loop: loop, bounds: bounds, readBufferBytes: readBufferBytes, conns: make(map[uint64]*conn),
		pressed: make(chan struct{}, 1), done: make(chan struct{}),
	}
	g.changed.L = &g.mu
	return g
}

// admit waits until there is room for one more connection. It reports false once the
// gate is closed.
func (g *gate) admit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.conns) >= g.bounds.ConnectionsWith(g.extraBytes()) && !g.closed {
		g.waiting = true
		g.press()
		g.changed.Wait()
	}
	g.waiting = false
	return !g.closed
}

// extraBytes returns what a connection that is accepted now holds beyond an ordinary one.
func (g *gate) extraBytes() int64 { return int64(g.readBufferBytes() - maxHeaderBytes) }

func (g *gate) add(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	c.id = g.lastID
	g.conns[c.id] = c
	if len(g.conns) > g.bounds.QuietWith(g.extraBytes()) {
		g.press()
	}
}

func (g *gate) setAccepting(accepting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accepting = accepting
}

func (g *gate) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c.id)
	g.changed.Signal()
}

// close ends the gate. Connections that are open stay open.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	close(g.done)
	g.changed.Broadcast()
}

func (g *gate) press() {
	select {
	case g.pressed <- struct{}{}:
	default:
	}
}

// reportServersFull reports that a connection to a backend server could not be opened.
func (g *gate) reportServersFull() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serversFull = true
	g.press()
}

// watch takes censuses while many connections are open, until the gate is closed.
func (g *gate) watch() {
	timer := time.NewTimer(censusInterval)
	defer timer.Stop()
	for {
		select {
		case <-g.pressed:
		case <-g.done:
			return
		}
		census, busy := g.census()
		if len(g.bounds.Shortages(&census)) > 0 {
			g.loop.Send(core.CallersCounted{Census: census})
		}
		if busy {
			g.press()
		}
		timer.Reset(censusInterval)
		select {
		case <-timer.C:
		case <-g.done:
			return
		}
	}
}

// census counts the open connections. It reports whether the next census is due
// without a further cause.
func (g *gate) census() (census intake.Census, busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.loop.Now()
	census.Waiting, census.ServersFull = g.waiting, g.serversFull
	g.serversFull = false
	census.Connections = make([]intake.Connection, 0, len(g.conns))
	for _, c := range g.conns {
		census.Connections = append(census.Connections, c.describe(now, &g.bounds))
	}
	return census, g.waiting || len(g.conns) > g.bounds.QuietWith(g.extraBytes())
}

// beginStream counts a streamed answer until its request ends. It reports whether its
// sockets may keep their full buffers.
func (g *gate) beginStream(c *conn) bool {
	streams := g.streams.Add(1)
	c.usage.hold(0, func() { g.streams.Add(-1) })
	c.usage.setStreaming()
	return g.bounds.Streams == 0 || streams <= int64(g.bounds.Streams)
}

// carryOut closes connections that are still as the decision saw them.
func (g *gate) carryOut(closures []intake.Closure) {
	for _, closure := range closures {
		g.mu.Lock()
		c := g.conns[closure.ID]
		g.mu.Unlock()
		if c != nil {
			c.cut(closure)
		}
	}
}

// listener admits and wraps the connections that it accepts.
type listener struct {
	net.Listener
	gate *gate
	// timeouts returns the timeouts of the configuration in force, and headBytes the
	// bytes that a request may have before its body.
	timeouts  func() readTimeouts
	headBytes func() int
	// large receives the connections that need a large read buffer.
	large *handoff
	// startAheadOf and pipelined are those of the connections.
	startAheadOf func(c *conn, raw []byte) *aheadCall
	pipelined    int
}

// Accept returns the next connection that needs no large read buffer.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, err
		}
		if c.readBufferBytes <= maxHeaderBytes {
			return c, nil
		}
		l.large.put(c)
	}
}

func (l listener) accept() (*conn, error) {
	if !l.gate.admit() {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := newConn(c)
	wrapped.timeouts = l.timeouts
	wrapped.headBytes = l.headBytes
	wrapped.startAheadOf, wrapped.pipelined = l.startAheadOf, l.pipelined
	wrapped.usage.enter(intake.PhaseFresh, l.gate.loop.Now())
	wrapped.gate = l.gate
	wrapped.readBufferBytes = l.gate.readBufferBytes()
	wrapped.setBuffers(&l.gate.bounds)
	l.gate.add(wrapped)
	return wrapped, nil
}

// Close closes the listener and ends a wait for room.
func (l listener) Close() error {
	l.stop()
	return l.Listener.Close()
}

// stop ends everything that serves the connections of the listener, but not the
// connections.
func (l listener) stop() {
	l.gate.close()
	l.large.Close()
}
