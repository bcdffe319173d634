package peer

import (
	"context"
	"time"
)

const (
	// flushInterval is the time between two looks at what is still to be sent.
	flushInterval = 2 * time.Millisecond
	// ackDelay is the longest time for which a peer holds an acknowledgement
	// back. A full congestion window may wait for one.
	ackDelay = 25 * time.Millisecond
)

// Flush waits until the queued messages have been sent, and two round trips
// longer. It reports false when ctx ends before. It does not wait until lost
// packets have been sent again.
func (t *Transport) Flush(ctx context.Context) bool {
	ticker := time.NewTicker(flushInterval)
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
	if t.waiting.Load() > 0 {
		return false
	}
	for _, l := range t.allLinks() {
		if !l.flushed() {
			return false
		}
	}
	return true
}

// noteWrite is called before each datagram and before the end of each stream.
func (l *link) noteWrite() {
	l.sentBefore.Store(l.conn.ConnectionStats().PacketsSent)
	l.writtenAt.Store(int64(time.Since(l.since)))
}

// flushed reports whether nothing is left to write and QUIC has had the time to
// send it. QUIC sends asynchronously, drops what it holds when the connection
// is closed, and does not tell what it holds.
func (l *link) flushed() bool {
	if l.dead() {
		return true
	}
	if l.queuedBytes.Load() > 0 {
		return false
	}
	stats := l.conn.ConnectionStats()
	waited := time.Since(l.since) - time.Duration(l.writtenAt.Load())
	return stats.PacketsSent > l.sentBefore.Load() && waited >= ackDelay+2*stats.SmoothedRTT
}
