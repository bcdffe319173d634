package backend

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxIdlePerAddress and maxIdle bound the connections that are kept.
	maxIdlePerAddress = 32
	maxIdle           = 4096
	// idleTimeout is how long an unused connection is kept. It is shorter
	// than the usual keep-alive time of servers.
	idleTimeout = 30 * time.Second
	sweepEvery  = 5 * time.Second
)

// Pool opens connections to backend servers and keeps idle ones by address.
type Pool struct {
	// Dialect must not be changed once the pool is in use.
	Dialect     Dialect
	dialer      net.Dialer
	idleTimeout time.Duration
	sweepEvery  time.Duration

	mu        sync.RWMutex
	addresses map[string]*address
	sweeping  bool
}

// address holds the connections to one address.
type address struct {
	name string
	pool *Pool

	mu   sync.Mutex
	idle []*connection
	// open counts the connections that are open or being opened.
	open int
	// generation rises with CloseIdle. Connections of an earlier generation
	// are not kept.
	generation uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		Dialect:     DefaultDialect(),
		idleTimeout: idleTimeout,
		sweepEvery:  sweepEvery,
		addresses:   make(map[string]*address),
	}
}

// withAddress calls f with the address locked. The map stays locked against
// the sweep meanwhile, so that the address cannot be dropped under f.
func (p *Pool) withAddress(name string, f func(*address)) {
	p.mu.RLock()
	a := p.addresses[name]
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
	if a = p.addresses[name]; a == nil {
		a = &address{name: name, pool: p}
		p.addresses[name] = a
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a)
}

// reuse returns a connection that was idle for less than maxIdle and passed
// the idle check, or nil.
func (p *Pool) reuse(name string, maxIdle time.Duration) *connection {
	for {
		c := p.takeIdle(name, maxIdle)
		if c == nil {
			return nil
		}
		if c.mayBeIdle(time.Now(), p.idleTimeout) && c.checkIdle() == nil {
			c.takeReader()
			return c
		}
		p.drop(c)
	}
}

// open opens a connection. limit is the largest number of connections to the
// address, 0 for no limit.
func (p *Pool) open(ctx context.Context, name string, limit int) (*connection, error) {
	a, generation := p.reserve(name, limit)
	if a == nil {
		return nil, &ConnectionLimitError{Address: name, Limit: limit}
	}
	c, err := dial(ctx, &p.dialer, a, generation)
	if err != nil {
		a.release()
		return nil, err
	}
	return c, nil
}

// takeIdle returns the connection that was used last, unless that was longer
// ago than maxIdle: the others were idle longer still.
func (p *Pool) takeIdle(name string, maxIdle time.Duration) (c *connection) {
	p.withAddress(name, func(a *address) {
		if last := len(a.idle) - 1; last >= 0 && time.Since(a.idle[last].idleSince) < maxIdle {
			c = a.idle[last]
			a.idle[last] = nil
			a.idle = a.idle[:last]
		}
	})
	return c
}

// reserve counts a connection that is about to be opened. At the limit an
// idle connection makes room; without one it returns nil.
func (p *Pool) reserve(name string, limit int) (reserved *address, generation uint64) {
	var evicted *connection
	p.withAddress(name, func(a *address) {
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
	}
	return reserved, generation
}

func (a *address) release() {
	a.mu.Lock()
	a.open--
	a.mu.Unlock()
}

// drop closes a connection.
func (p *Pool) drop(c *connection) {
	c.close()
	c.home.release()
}

// put keeps a connection whose exchange ended cleanly, or drops it.
func (p *Pool) put(c *connection) {
	if c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil || !c.home.keep(c) {
		p.drop(c)
		return
	}
	p.startSweep()
}

func (a *address) keep(c *connection) bool {
	c.idleSince = time.Now()
	c.freeReader()
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
func (p *Pool) CloseIdle(name string) {
	var idle []*connection
	p.withAddress(name, func(a *address) {
		a.generation++
		idle = a.idle
		a.idle = nil
		a.open -= len(idle)
	})
	for _, c := range idle {
		c.close()
	}
}
