package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"wisteriapond/core"
)

// Application error codes of closed connections.
const (
	codeStopped quic.ApplicationErrorCode = iota + 1
	codeMalformed
	codeInvalidKey
	codeTooMany
	codeUnresponsive
)

const (
	// datagramLimit is the size in bytes of the largest datagram. It fits the
	// smallest packet that QUIC allows.
	datagramLimit = 1100
	// maxBatch bounds the messages that share a datagram.
	maxBatch = 64
	// maxMalformed is the number of malformed messages after which the
	// connection is closed.
	maxMalformed = 8
	// streamTimeout bounds the time to transfer one stream, at either end.
	streamTimeout = 30 * time.Second
	// writeTimeout bounds the time that a datagram waits for the congestion
	// window.
	writeTimeout = 5 * time.Second
	// ackTimeout is the time after which a peer that acknowledges nothing is
	// considered unreachable. An acknowledgement takes one round trip.
	ackTimeout = 3 * time.Second
	// A connection queues encoded messages for streams within both limits.
	maxQueuedStreams     = 64
	maxQueuedStreamBytes = 4 << 20
	// maxConcurrentReads bounds the streams that are read at the same time in the
	// process.
	maxConcurrentReads = 16
)

var errTooManyMessages = errors.New("too many messages in one datagram or stream")

// readTokens holds a token for each stream that is being read. It bounds the
// memory that large messages use in the process.
var readTokens = make(chan struct{}, maxConcurrentReads)

// connection is a QUIC connection to a peer.
type connection struct {
	t       *Transport
	conn    *quic.Conn
	host    string
	address netip.AddrPort
	// dialed is the address that this host dialed, nil if the peer opened the
	// connection.
	dialed   net.IP
	openedAt time.Time
	streams  chan []byte
	// usesV2 is set if the handshake selected protocolV2: a datagram may carry
	// several messages, and streams are compressed.
	usesV2 bool

	queuedBytes atomic.Int64
	// packetsBeforeWrite is the number of packets sent before the last write, and
	// lastWrite the time of that write in nanoseconds after openedAt.
	packetsBeforeWrite atomic.Uint64
	lastWrite          atomic.Int64
	malformed          atomic.Int64
	closeOnce          sync.Once

	// The following fields belong to the goroutine that sends. unackedSince is the
	// time of the first message sent after the last packet from the peer arrived.
	packetsReceived uint64
	unackedSince    time.Time
}

func newConnection(t *Transport, conn *quic.Conn, host string, dialed net.IP) *connection {
	return &connection{
		t:        t,
		conn:     conn,
		host:     host,
		address:  unmapped(conn.RemoteAddr().(*net.UDPAddr).AddrPort()),
		dialed:   dialed,
		openedAt: time.Now(),
		streams:  make(chan []byte, maxQueuedStreams),
		usesV2:   conn.ConnectionState().TLS.NegotiatedProtocol == protocolV2,
	}
}

// start starts the goroutines that read and write. The caller holds the
// transport's lock, so that no goroutine starts after Close has started to wait.
func (c *connection) start() {
	c.t.group.Go(c.readDatagrams)
	c.t.group.Go(c.acceptStreams)
	c.t.group.Go(c.writeStreams)
	c.t.group.Go(c.awaitClose)
}

// awaitClose waits until the connection is closed and removes it.
func (c *connection) awaitClose() {
	<-c.conn.Context().Done()
	c.t.remove(c)
	c.recordHandshakeRejection(context.Cause(c.conn.Context()))
}

// recordHandshakeRejection reports a peer that rejected this host's certificate.
// In TLS 1.3, the handshake completes for the dialing side before the other side
// has verified the certificate, so the rejection closes an open connection.
func (c *connection) recordHandshakeRejection(cause error) {
	var failure *quic.TransportError
	if !errors.As(cause, &failure) || !failure.Remote || !failure.ErrorCode.IsCryptoError() {
		return
	}
	c.t.config.Count(CounterHandshakes, handshakeRefusedByPeer, 1)
	c.t.securityLog.warn("peer rejected the TLS handshake of this host", c.address.String(), failure.Error())
	c.t.config.Receive(core.PeerUnreachable{Address: c.address.String()})
}

func (c *connection) close(code quic.ApplicationErrorCode, reason string) {
	c.closeOnce.Do(func() {
		c.t.config.Count(CounterClosed, reason, 1)
		c.conn.CloseWithError(code, reason)
	})
}

// unmapped returns an address with an IPv4-mapped IPv6 address replaced by the
// IPv4 address, so that equal addresses compare equal.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

func (c *connection) isClosed() bool { return c.conn.Context().Err() != nil }

// unresponsive reports whether the peer has acknowledged nothing for ackTimeout.
// It is called before each message.
func (c *connection) unresponsive(now time.Time) bool {
	packets := c.conn.ConnectionStats().PacketsReceived
	if packets != c.packetsReceived {
		c.packetsReceived = packets
		c.unackedSince = time.Time{}
		return false
	}
	return !c.unackedSince.IsZero() && now.Sub(c.unackedSince) >= ackTimeout
}

// write sends encoded messages in a datagram or queues them for a stream. It
// returns the transport used, or the reason why the messages are dropped.
func (c *connection) write(raw []byte) (transport, dropped string) {
	if c.unackedSince.IsZero() {
		c.unackedSince = time.Now()
	}
	c.recordWrite()
	if len(raw) <= datagramLimit {
		err := c.writeDatagram(raw)
		var tooLarge *quic.DatagramTooLargeError
		if err == nil {
			return transportDatagram, ""
		}
		if !errors.As(err, &tooLarge) {
			return "", droppedSendFailed
		}
	}
	if c.queuedBytes.Add(int64(len(raw))) > maxQueuedStreamBytes {
		c.queuedBytes.Add(-int64(len(raw)))
		return "", droppedStreamQueueFull
	}
	select {
	case c.streams <- raw:
		return transportStream, ""
	default:
		c.queuedBytes.Add(-int64(len(raw)))
		return "", droppedStreamQueueFull
	}
}

func (c *connection) writeDatagram(raw []byte) error {
	watchdog := time.AfterFunc(writeTimeout, func() { c.close(codeUnresponsive, closedUnresponsive) })
	defer watchdog.Stop()
	return c.conn.SendDatagram(raw)
}

func (c *connection) writeStreams() {
	for {
		select {
		case <-c.conn.Context().Done():
			return
		case raw := <-c.streams:
			if err := c.writeStream(raw); err != nil {
				c.t.config.Count(CounterDropped, droppedSendFailed, 1)
			}
			c.queuedBytes.Add(-int64(len(raw)))
		}
	}
}

func (c *connection) writeStream(raw []byte) error {
	ctx, cancel := context.WithTimeout(c.conn.Context(), streamTimeout)
	defer cancel()
	stream, err := c.conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	stream.SetWriteDeadline(time.Now().Add(streamTimeout))
	if err := c.writePayload(stream, raw); err != nil {
		stream.CancelWrite(0)
		return err
	}
	c.recordWrite()
	return stream.Close()
}

func (c *connection) writePayload(stream *quic.SendStream, raw []byte) error {
	if c.usesV2 {
		return writeCompressed(stream, raw)
	}
	_, err := stream.Write(raw)
	return err
}

func (c *connection) readPayload(stream *quic.ReceiveStream) ([]byte, error) {
	if c.usesV2 {
		return readCompressed(stream)
	}
	return io.ReadAll(io.LimitReader(stream, MaxMessage+1))
}

func (c *connection) readDatagrams() {
	for {
		raw, err := c.conn.ReceiveDatagram(c.conn.Context())
		if err != nil {
			return
		}
		c.receive(raw, transportDatagram)
	}
}

func (c *connection) acceptStreams() {
	for {
		stream, err := c.conn.AcceptUniStream(c.conn.Context())
		if err != nil {
			return
		}
		select {
		case readTokens <- struct{}{}:
		case <-c.conn.Context().Done():
			return
		}
		c.t.group.Go(func() {
			defer func() { <-readTokens }()
			c.readStream(stream)
		})
	}
}

func (c *connection) readStream(stream *quic.ReceiveStream) {
	stream.SetReadDeadline(time.Now().Add(streamTimeout))
	raw, err := c.readPayload(stream)
	if errors.Is(err, errInvalidCompression) {
		c.recordMalformed(transportStream, err)
		return
	}
	if err != nil {
		return
	}
	if len(raw) > MaxMessage {
		stream.CancelRead(0)
	}
	c.receive(raw, transportStream)
}

// receive delivers the messages of a datagram or stream up to the first one that
// is malformed.
func (c *connection) receive(raw []byte, transport string) {
	if len(raw) > datagramLimit {
		c.receiveLarge(raw, transport)
		return
	}
	for n := 0; n == 0 || len(raw) > 0; n++ {
		if n == maxBatch {
			c.recordMalformed(transport, errTooManyMessages)
			return
		}
		message, rest, err := decodeFirst(raw)
		if err != nil {
			c.recordMalformed(transport, err)
			return
		}
		c.deliver(message, raw[:len(raw)-len(rest)], transport)
		raw = rest
	}
}

// receiveLarge delivers a message that is the only one of its stream. If large
// streams could be batches, a single stream could hold a million messages.
func (c *connection) receiveLarge(raw []byte, transport string) {
	message, err := Decode(raw)
	if err != nil {
		c.recordMalformed(transport, err)
		return
	}
	c.deliver(message, raw, transport)
}

func (c *connection) deliver(message core.Message, raw []byte, transport string) {
	c.t.config.Count(CounterMessagesIn, transport, 1)
	countBytesByKind(&message, raw, func(kind string, n int64) { c.t.config.Count(CounterBytesIn, kind, n) })
	c.t.config.Receive(core.PeerMessage{
		From:    c.host,
		Address: c.address.String(),
		Message: message,
		Bytes:   len(raw),
	})
}

func (c *connection) recordMalformed(transport string, err error) {
	c.t.config.Count(CounterMalformed, transport, 1)
	if c.malformed.Add(1) != maxMalformed {
		return
	}
	c.t.config.Log.WithField("peer", c.host).WithField("address", c.address.String()).WithError(err).
		Warn("connection to peer closed after too many malformed messages")
	c.close(codeMalformed, closedMalformed)
}
