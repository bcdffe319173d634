package caller

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"wisteriapond/core"
	"wisteriapond/intake"
)

const (
	// closeInterval is the time between two searches for connections that may be closed
	// during a shutdown.
	closeInterval = 100 * time.Millisecond
	// firstRequestTime is left during a shutdown to a connection that has carried no
	// request, for its first byte and then for its first head.
	firstRequestTime = 5 * time.Second
)

// Shutdown closes the listener and the connections without a request. It waits until
// every response in progress is written, with those to pipelined requests that were
// started behind it, or ctx is done; the error is that of ctx. It does not use the
// shutdown of fasthttp, which ends each connection with the next response.
func (s *Server) Shutdown(ctx context.Context) error {
	s.shuttingDown.Store(true)
	s.http.CloseListener()
	s.large.CloseListener()
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for !s.gate.closeUnused() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closing reports whether connections end as soon as nothing that was started on them is
// left to answer.
func (s *Server) closing() bool { return s.shuttingDown.Load() || s.loop.View().Closing }

// closeUnused closes the connections without a request, except for those whose first
// request may still be coming. It reports whether no connection is left and none can be
// added.
func (g *gate) closeUnused() (done bool) {
	g.mu.Lock()
	done = len(g.conns) == 0 && !g.accepting
	conns := slices.Collect(maps.Values(g.conns))
	g.mu.Unlock()
	for _, c := range conns {
		c.closeIfUnused()
	}
	return done
}

// closeIfUnused closes the connection unless it carries a request, has to answer one that
// was started before its turn, or has a caller that has not received the last response: a
// request that arrives at this moment would reset it.
func (c *conn) closeIfUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 || c.aheadRead != nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && undelivered(tcp) > 0 {
		return
	}
	if c.usage.cutIfUnused(c.gate.loop.Now()) {
		c.closeNow(false)
	}
}

// cutIfUnused marks the connection as cut if it carries no request and its first one is
// not to be waited for. It reports whether it did.
func (u *usage) cutIfUnused(now core.Instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	unused := u.phase == intake.PhaseIdle
	if !u.carried && u.phase != intake.PhaseRequest {
		unused = now.Sub(u.since) >= firstRequestTime
	}
	if u.cut || !unused {
		return false
	}
	u.cut = true
	return true
}
