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
	// sendQueueSize bounds the messages that wait for one peer.
	sendQueueSize = 128
	// maxQueueTime bounds the time for which a message waits. An older one would
	// carry stale facts.
	maxQueueTime = time.Second
	// A failed dial is followed by a wait that doubles from minBackOff to
	// maxBackOff.
	minBackOff = 100 * time.Millisecond
	maxBackOff = 2 * time.Second
	// stableAfter is the age from which a connection counts as a success. A
	// peer that refuses this host closes it within a round trip.
	stableAfter = 2 * time.Second
	// queueIdleTimeout is the time without messages after which the queue of a peer is
	// given up. Its connection stays until it is idle itself.
	queueIdleTimeout = time.Minute
)

var errTooManyConnections = errors.New("too many connections")

// outgoing is a message on its way to a peer.
type outgoing struct {
	message  core.Message
	queuedAt time.Time
	// raw is the encoding, once there is one.
	raw []byte
}

// peer is the queue towards one address. Its goroutine encodes and sends.
type peer struct {
	t       *Transport
	address netip.AddrPort
	queue   chan *outgoing
	// wake holds a token after the peer has opened a connection itself.
	wake chan struct{}

	// The following belong to the peer's goroutine.
	dialed   *connection
	failures int
	retryAt  time.Time
}

// Send queues a message. It never blocks: a message that finds no place is
// dropped and counted. The message must not change afterwards.
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

// peerFor returns the peer at an address and begins to serve a new one. It
// returns nil when there are too many. The lock is held.
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

// drop counts a message that cannot be sent and reports its address.
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

// removeIfEmpty gives up the queue when it is empty.
func (p *peer) removeIfEmpty() bool {
	p.t.mu.Lock()
	defer p.t.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(p.t.peers, p.address)
	return true
}

// notifyConnected says that a connection to the peer's address has come into use.
func (p *peer) notifyConnected() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// send sends a message and those that wait behind it.
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

// sendBatch sends a message together with those that wait and fit into the
// same datagram. It waits for none: messages of one step of the reducer follow
// each other within microseconds. It returns the first that did not fit.
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

// next returns a message that waits, or nil.
func (p *peer) next() *outgoing {
	select {
	case o := <-p.queue:
		return o
	default:
		return nil
	}
}

// encode returns nil for a message that is dropped. The result is kept, since
// a message that does not fit into a batch begins the next one.
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
		p.t.config.Log.WithField("address", p.address.String()).WithError(err).Error("message to peer dropped")
		return nil
	}
	o.raw = raw
	return raw
}

// unreachable drops the message at hand and those that wait. They have one
// report: the reducer asks elsewhere once, not once per message.
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

// connect returns a live connect to the peer, its own or one that the
// peer opened, and dials after the back-off when there is none.
func (p *peer) connect() *connection {
	if c := p.usableConnection(); c != nil {
		return c
	}
	if !p.waitBackOff() {
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

// recordConnectionEnd judges the last connection that this host opened.
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

// backOff sets the next dial off, with jitter so that hosts that lost the
// same peer do not return in step.
func (p *peer) backOff() {
	wait := min(minBackOff<<min(p.failures, 10), maxBackOff)
	p.failures++
	p.retryAt = time.Now().Add(wait/2 + rand.N(wait/2))
}

// waitBackOff waits until the next dial is due or the peer has opened a
// connection. It reports false when the transport ends.
func (p *peer) waitBackOff() bool {
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
	var refusal error
	conn, err := p.t.quic.Dial(ctx, net.UDPAddrFromAddrPort(p.address), p.t.dialTLSConfig(ip, &refusal), quicConfig())
	if err != nil {
		p.recordDialError(err, refusal)
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

func (p *peer) recordDialError(err, refusal error) {
	if p.t.ctx.Err() != nil {
		return
	}
	var failure *quic.TransportError
	switch {
	case refusal != nil:
		p.t.config.Count(CounterHandshakes, handshakeRefused, 1)
		p.t.securityLog.warn("peer refused", p.address.String(), refusal.Error())
	case errors.As(err, &failure) && failure.ErrorCode.IsCryptoError():
		p.t.config.Count(CounterHandshakes, handshakeRefusedByPeer, 1)
		p.t.securityLog.warn("peer refused this host", p.address.String(), failure.Error())
	default:
		p.t.config.Count(CounterHandshakes, handshakeFailed, 1)
	}
}
