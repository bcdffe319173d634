package peer

import (
	"context"
	"time"
)

const (
	// flushPollInterval is the time between two looks at what is still to be sent.
	flushPollInterval = 2 * time.Millisecond
	// maxAckDelay is the longest time for which a peer holds an acknowledgement
	// back. A full congestion window may wait for one.
	maxAckDelay = 25 * time.Millisecond
)

// Flush waits until the queued messages have been sent, and two round trips
// longer. It reports false when ctx ends before. It does not wait until lost
// packets have been sent again.
func (t *Transport) Flush(ctx context.Context) bool {
	ticker := time.NewTicker(flushPollInterval)
	defer ticker.Stop()
	for !t.flushed() {
		select {
		case <-ctx.Done():
			return false
		case <-t.ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

func (t *Transport) flushed() bool {
	if t.pendingMessages.Load() > 0 {
		return false
	}
	for _, c := range t.allConnections() {
		if !c.flushed() {
			return false
		}
	}
	return true
}

// recordWrite is called before each datagram and before the end of each stream.
func (c *connection) recordWrite() {
	c.packetsBeforeWrite.Store(c.conn.ConnectionStats().PacketsSent)
	c.lastWrite.Store(int64(time.Since(c.openedAt)))
}

// flushed reports whether nothing is left to write and QUIC has had the time to
// send it. QUIC sends asynchronously, drops what it holds when the connection
// is closed, and does not tell what it holds.
func (c *connection) flushed() bool {
	if c.isClosed() {
		return true
	}
	if c.queuedBytes.Load() > 0 {
		return false
	}
	stats := c.conn.ConnectionStats()
	waited := time.Since(c.openedAt) - time.Duration(c.lastWrite.Load())
	return stats.PacketsSent > c.packetsBeforeWrite.Load() && waited >= maxAckDelay+2*stats.SmoothedRTT
}
