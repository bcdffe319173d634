package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"

	"wisteriapond/core"
)

const (
	// sendQueueSize bounds the messages queued for one peer.
	sendQueueSize = 128
	// maxQueueTime bounds the time that a message waits in the queue. The content
	// of an older message would be stale.
	maxQueueTime = time.Second
	// The backoff after failed dials doubles from minBackoff to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// stableAfter is the age at which a connection counts as successful and resets
	// the backoff. A peer that rejects this host closes the connection within one
	// round trip.
	stableAfter = 2 * time.Second
	// queueIdleTimeout is the time without messages after which the queue of a peer
	// is removed. Its connection stays open until it reaches idleTimeout.
	queueIdleTimeout = time.Minute
)

var errTooManyConnections = errors.New("too many connections")

// outgoing is a message in the queue of a peer.
type outgoing struct {
	message  core.Message
	queuedAt time.Time
	// raw is the encoding, nil until the message has been encoded.
	raw []byte
}

// peer is the send queue for one address. Its goroutine encodes and sends the
// messages.
type peer struct {
	t       *Transport
	address netip.AddrPort
	queue   chan *outgoing
	// wake holds a token after a connection to the address has been opened. It ends
	// the backoff early.
	wake chan struct{}

	// The following fields belong to the goroutine of the peer. dialed is the last
	// connection that this host opened, nil after its end has been recorded.
	dialed   *connection
	failures int
	retryAt  time.Time
}

// Send queues a message for the entry host at an address. It never blocks: a
// message that cannot be queued is dropped and counted. The caller must not modify
// the message afterwards.
func (t *Transport) Send(address string, message core.Message) {
	parsed, err := netip.ParseAddrPort(address)
	parsed = unmapped(parsed)
	if err != nil || parsed == t.own {
		t.drop(droppedInvalidAddress, address)
		return
	}
	t.mu.Lock()
	p := t.peerFor(parsed)
	full := false
	if p != nil {
		t.pendingMessages.Add(1)
		select {
		case p.queue <- &outgoing{message: message, queuedAt: time.Now()}:
		default:
			t.pendingMessages.Add(-1)
			full = true
		}
	}
	t.mu.Unlock()
	switch {
	case p == nil:
		t.drop(droppedTooManyPeers, address)
	case full:
		t.config.Count(CounterDropped, droppedQueueFull, 1)
	}
}

// peerFor returns the peer at an address. It creates the peer and starts its
// goroutine if necessary, and returns nil if there are already maxPeers or the
// transport is shut down. The caller holds the lock.
func (t *Transport) peerFor(address netip.AddrPort) *peer {
	if p := t.peers[address]; p != nil {
		return p
	}
	if t.ctx.Err() != nil || len(t.peers) >= maxPeers {
		return nil
	}
	p := &peer{
		t:       t,
		address: address,
		queue:   make(chan *outgoing, sendQueueSize),
		wake:    make(chan struct{}, 1),
	}
	t.peers[address] = p
	t.group.Go(p.run)
	return p
}

// drop counts a message that cannot be queued because its address is invalid,
// there are too many peers or the transport is shut down. It reports the address as unreachable, unless
// maxPendingReports reports are already queued.
func (t *Transport) drop(reason, address string) {
	t.config.Count(CounterDropped, reason, 1)
	select {
	case t.unreachable <- address:
	default:
	}
}

func (p *peer) run() {
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.t.ctx.Done():
			return
		case o := <-p.queue:
			p.send(o)
			idle.Reset(queueIdleTimeout)
		case <-idle.C:
			if p.removeIfEmpty() {
				return
			}
			idle.Reset(queueIdleTimeout)
		}
	}
}

// removeIfEmpty removes the peer if its queue is empty. It reports whether the
// peer was removed.
func (p *peer) removeIfEmpty() bool {
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(p.t.peers, p.address)
	return true
}

// notifyConnected ends a wait for the next dial after a connection to the peer's
// address has been added.
func (p *peer) notifyConnected() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// send sends a message and the batches that follow it in the queue.
func (p *peer) send(o *outgoing) {
	for o != nil {
		c := p.connect()
		if c == nil {
			p.unreachable()
			return
		}
		o = p.sendBatch(c, o)
	}
}

// sendBatch sends a message together with the queued messages that fit into the
// same datagram. It does not wait for more messages, since the messages of one
// reducer step arrive within microseconds of each other. It returns the first
// message that did not fit, or nil.
func (p *peer) sendBatch(c *connection, first *outgoing) (rest *outgoing) {
	batch := &batch{t: p.t}
	for o := first; o != nil; o = p.next() {
		raw := p.encode(o)
		if raw == nil {
			p.t.pendingMessages.Add(-1)
			continue
		}
		if !batch.add(&o.message, raw) {
			rest = o
			break
		}
		if !c.usesV2 {
			break
		}
	}
	batch.send(c)
	return rest
}

// next returns the next queued message, or nil if the queue is empty.
func (p *peer) next() *outgoing {
	select {
	case o := <-p.queue:
		return o
	default:
		return nil
	}
}

// encode returns the encoding of a message, or nil if the message is dropped. The
// encoding is stored, since a message that does not fit into a batch is sent in
// the next one.
func (p *peer) encode(o *outgoing) []byte {
	if o.raw != nil {
		return o.raw
	}
	if time.Since(o.queuedAt) > maxQueueTime {
		p.t.config.Count(CounterDropped, droppedExpired, 1)
		return nil
	}
	raw, err := Encode(&o.message)
	if err != nil {
		p.t.config.Count(CounterDropped, droppedTooLarge, 1)
		p.t.config.Log.WithField("address", p.address.String()).WithError(err).Error("message to peer dropped: encoding failed")
		return nil
	}
	o.raw = raw
	return raw
}

// unreachable drops the current message and the queued ones. It sends a single
// PeerUnreachable event for all of them, so that the reducer turns to another peer
// once and not once per message.
func (p *peer) unreachable() {
	if p.t.ctx.Err() != nil {
		return
	}
	dropped := int64(1)
	for len(p.queue) > 0 {
		<-p.queue
		dropped++
	}
	p.t.pendingMessages.Add(-dropped)
	p.t.config.Count(CounterDropped, droppedUnreachable, dropped)
	p.t.config.Receive(core.PeerUnreachable{Address: p.address.String()})
}

// connect returns an open connection to the peer, whichever side opened it. If
// there is none, it waits until the backoff ends and dials. It returns nil on failure.
func (p *peer) connect() *connection {
	if c := p.usableConnection(); c != nil {
		return c
	}
	if !p.waitBackoff() {
		return nil
	}
	if c := p.usableConnection(); c != nil {
		return c
	}
	c, err := p.dial()
	if err != nil {
		p.backOff()
		return nil
	}
	p.dialed = c
	return c
}

// usableConnection returns the open connection to the peer, or nil. It closes a
// connection whose peer is unresponsive.
func (p *peer) usableConnection() *connection {
	c := p.t.connectionTo(p.address)
	if c != nil && c.unresponsive(time.Now()) {
		c.close(codeUnresponsive, closedUnresponsive)
		c = nil
	}
	if c != nil && !c.isClosed() {
		return c
	}
	p.recordConnectionEnd()
	return nil
}

// recordConnectionEnd resets the backoff if the last connection that this host
// opened lasted for stableAfter, and extends it otherwise.
func (p *peer) recordConnectionEnd() {
	if p.dialed == nil {
		return
	}
	if time.Since(p.dialed.openedAt) >= stableAfter {
		p.failures = 0
		p.retryAt = time.Time{}
	} else {
		p.backOff()
	}
	p.dialed = nil
}

// backOff delays the next dial. The jitter keeps hosts that lost the same peer
// from reconnecting at the same time.
func (p *peer) backOff() {
	wait := min(minBackoff<<min(p.failures, 10), maxBackoff)
	p.failures++
	p.retryAt = time.Now().Add(wait/2 + rand.N(wait/2))
}

// waitBackoff waits until the next dial is due or a connection to the peer's
// address has been added. It reports false if the transport is shut down.
func (p *peer) waitBackoff() bool {
	timer := time.NewTimer(time.Until(p.retryAt))
	defer timer.Stop()
	select {
	case <-p.t.ctx.Done():
		return false
	case <-p.wake:
	case <-timer.C:
	}
	return true
}

func (p *peer) dial() (*connection, error) {
	ctx, cancel := context.WithTimeout(p.t.ctx, handshakeTimeout)
	defer cancel()
	ip := net.IP(p.address.Addr().AsSlice())
	var rejection error
	conn, err := p.t.quic.Dial(ctx, net.UDPAddrFromAddrPort(p.address), p.t.dialTLSConfig(ip, &rejection), quicConfig())
	if err != nil {
		p.recordDialError(err, rejection)
		return nil, err
	}
	host, err := p.t.config.Keys.Current().VerifyPeer(conn.ConnectionState().TLS.PeerCertificates, ip, time.Now())
	if err != nil {
		p.recordDialError(err, err)
		conn.CloseWithError(codeInvalidKey, "key is not valid")
		return nil, err
	}
	p.t.config.Count(CounterHandshakes, handshakeDialed, 1)
	c := newConnection(p.t, conn, host, ip)
	if !p.t.add(c) {
		return nil, errTooManyConnections
	}
	return c, nil
}

func (p *peer) recordDialError(err, rejection error) {
	if p.t.ctx.Err() != nil {
		return
	}
	var failure *quic.TransportError
	switch {
	case rejection != nil:
		p.t.config.Count(CounterHandshakes, handshakeRefused, 1)
		p.t.securityLog.warn("peer certificate rejected", p.address.String(), rejection.Error())
	case errors.As(err, &failure) && failure.ErrorCode.IsCryptoError():
		p.t.config.Count(CounterHandshakes, handshakeRefusedByPeer, 1)
		p.t.securityLog.warn("peer rejected the TLS handshake of this host", p.address.String(), failure.Error())
	default:
		p.t.config.Count(CounterHandshakes, handshakeFailed, 1)
	}
}
