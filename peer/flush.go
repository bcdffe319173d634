package peer

import (
	"context"
	"time"
)

const (
	// flushPollInterval is the time between two checks whether messages are still
	// to be sent.
	flushPollInterval = 2 * time.Millisecond
	// maxAckDelay is the maximum time by which a peer delays an acknowledgement.
	// Sending may have to wait for one if the congestion window is full.
	maxAckDelay = 25 * time.Millisecond
)

// Flush waits until the queued messages have been sent, plus maxAckDelay and two
// round trips. It reports false if ctx is done or the transport is closed before
// that. It does not wait for lost packets to be retransmitted.
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

// recordWrite records the time of a write and the number of packets sent before
// it. It is called before each datagram and before the end of each stream.
func (c *connection) recordWrite() {
	c.packetsBeforeWrite.Store(c.conn.ConnectionStats().PacketsSent)
	c.lastWrite.Store(int64(time.Since(c.openedAt)))
}

// flushed reports whether nothing is left to write and QUIC has had time to send
// what was written. QUIC sends asynchronously, drops buffered data when the
// connection is closed, and does not report how much data it buffers.
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
