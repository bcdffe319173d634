package backend

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxIdlePerAddress and maxIdleConnections bound the idle connections that
	// are kept, per address and in total.
	maxIdlePerAddress  = 32
	maxIdleConnections = 4096
	// defaultIdleTimeout is how long an idle connection is kept. It is shorter
	// than the usual keep-alive timeout of servers.
	defaultIdleTimeout   = 30 * time.Second
	defaultSweepInterval = 5 * time.Second
)

// Pool opens connections to backend servers and keeps idle ones by address.
type Pool struct {
	// Dialect must not be changed once the pool is in use.
	Dialect Dialect
	// Bounds must not be changed once the pool is in use.
	Bounds        Bounds
	usage         usage
	dialer        net.Dialer
	idleTimeout   time.Duration
	sweepInterval time.Duration

	mu             sync.RWMutex
	addresses      map[string]*addressPool
	sweepScheduled bool
}

// addressPool holds the connections to one address.
type addressPool struct {
	address string
	pool    *Pool

	mu   sync.Mutex
	idle []*connection
	// open is the number of connections that are open or being opened.
	open int
	// generation is incremented by CloseIdle. Connections of an earlier
	// generation are not kept.
	generation uint64
}

// NewPool returns an empty pool with the default dialect.
func NewPool() *Pool {
	return &Pool{
		Dialect:       DefaultDialect(),
		idleTimeout:   defaultIdleTimeout,
		sweepInterval: defaultSweepInterval,
		addresses:     make(map[string]*addressPool),
	}
}

// withAddress calls f with the pool of the address locked, and creates that pool
// if necessary. The map stays locked as well, so that the sweep cannot remove the
// address while f runs.
func (p *Pool) withAddress(address string, f func(*addressPool)) {
	p.mu.RLock()
	a := p.addresses[address]
	if a != nil {
		a.mu.Lock()
		f(a)
		a.mu.Unlock()
		p.mu.RUnlock()
		return
	}
	p.mu.RUnlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if a = p.addresses[address]; a == nil {
		a = &addressPool{address: address, pool: p}
		p.addresses[address] = a
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a)
}

// reuse returns a connection that was idle for less than maxIdle and passed the
// idle check, or nil.
func (p *Pool) reuse(address string, maxIdle time.Duration) *connection {
	for {
		c := p.popIdle(address, maxIdle)
		if c == nil {
			return nil
		}
		if c.isReusable(time.Now(), p.idleTimeout) && c.checkIdle() == nil {
			c.acquireReader()
			return c
		}
		p.discard(c)
	}
}

// open opens a connection. limit is the maximum number of connections to the
// address; 0 means no limit.
func (p *Pool) open(ctx context.Context, address string, limit int) (*connection, error) {
	a, generation := p.reserve(address, limit)
	if a == nil {
		return nil, &ConnectionLimitError{Address: address, Limit: limit}
	}
	if !p.takeConnection() {
		a.release()
		return nil, &ConnectionLimitError{Address: address, Limit: p.Bounds.Connections}
	}
	c, err := dial(ctx, &p.dialer, a, generation)
	if err != nil {
		a.release()
		p.countClosed(1)
		return nil, err
	}
	p.setBuffer(c.Conn)
	return c, nil
}

// popIdle removes and returns the most recently used idle connection, or nil if
// it was idle for maxIdle or longer. All others were idle even longer.
func (p *Pool) popIdle(address string, maxIdle time.Duration) (c *connection) {
	p.withAddress(address, func(a *addressPool) {
		if last := len(a.idle) - 1; last >= 0 && time.Since(a.idle[last].idleSince) < maxIdle {
			c = a.idle[last]
			a.idle[last] = nil
			a.idle = a.idle[:last]
		}
	})
	return c
}

// reserve counts a connection that is about to be opened. At the limit it
// closes the oldest idle connection to make room; without one it returns nil.
func (p *Pool) reserve(address string, limit int) (reserved *addressPool, generation uint64) {
	var evicted *connection
	p.withAddress(address, func(a *addressPool) {
		if limit > 0 && a.open >= limit {
			if len(a.idle) == 0 {
				return
			}
			evicted = a.idle[0]
			a.idle = append(a.idle[:0], a.idle[1:]...)
			a.open--
		}
		a.open++
		reserved = a
		generation = a.generation
	})
	if evicted != nil {
		evicted.close()
		p.countClosed(1)
	}
	return reserved, generation
}

func (a *addressPool) release() {
	a.mu.Lock()
	a.open--
	a.mu.Unlock()
}

// discard closes a connection and stops counting it.
func (p *Pool) discard(c *connection) {
	c.close()
	c.addressPool.release()
	p.countClosed(1)
}

// put returns a connection to the pool after an exchange that ended cleanly, or
// closes it if it cannot be kept.
func (p *Pool) put(c *connection) {
	if c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil || !c.addressPool.addIdle(c) {
		p.discard(c)
		return
	}
	p.scheduleSweep()
}

func (a *addressPool) addIdle(c *connection) bool {
	c.idleSince = time.Now()
	c.releaseReader()
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.generation != a.generation || len(a.idle) >= maxIdlePerAddress {
		return false
	}
	a.idle = append(a.idle, c)
	return true
}

// CloseIdle closes the idle connections to an address. Connections in use are
// closed when their exchange ends.
func (p *Pool) CloseIdle(address string) {
	var idle []*connection
	p.withAddress(address, func(a *addressPool) {
		a.generation++
		idle = a.idle
		a.idle = nil
		a.open -= len(idle)
	})
	for _, c := range idle {
		c.close()
	}
	p.countClosed(len(idle))
}
