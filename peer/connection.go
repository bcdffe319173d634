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

// Error codes with which connections are closed.
const (
	codeStopped quic.ApplicationErrorCode = iota + 1
	codeMalformed
	codeKey
	codeTooMany
	codeSilent
)

const (
	// datagramLimit fits the smallest packet that QUIC allows.
	datagramLimit = 1100
	// maxBatch bounds the messages that share a datagram.
	maxBatch = 64
	// maxMalformed is the number of malformed messages after which the
	// connection is closed.
	maxMalformed = 8
	// streamTimeout bounds the time that one stream takes, at either end.
	streamTimeout = 30 * time.Second
	// writeTimeout bounds the time for which a datagram waits for the
	// congestion window.
	writeTimeout = 5 * time.Second
	// silentAfter is the time after which a peer that acknowledges nothing is
	// taken for gone. An acknowledgement takes one round trip.
	silentAfter = 3 * time.Second
	// A link queues encoded messages for streams up to both bounds.
	streamQueue      = 64
	streamQueueBytes = 4 << 20
	// maxReads bounds the streams that are read at once over all links.
	maxReads = 16
)

var errTooMany = errors.New("too many messages in one datagram")

// reads holds a token for each stream that is being read. It bounds the memory
// that large messages take, in the whole process.
var reads = make(chan struct{}, maxReads)

// link is one connection to a peer.
type link struct {
	t       *Transport
	conn    *quic.Conn
	host    string
	address netip.AddrPort
	// dialed is the address that this host dialed; nil when the peer did.
	dialed  net.IP
	since   time.Time
	streams chan []byte
	// current says that the peer speaks the current protocol: it takes several
	// messages in one datagram, and streams are compressed.
	current bool

	queuedBytes atomic.Int64
	// sentBefore is the number of packets sent before the last write, writtenAt
	// its time, counted from since in nanoseconds.
	sentBefore atomic.Uint64
	writtenAt  atomic.Int64
	malformed  atomic.Int64
	closed     sync.Once

	// The following belong to the goroutine that sends. Unanswered is the time
	// of the first message since the last packet of the peer came.
	packets    uint64
	unanswered time.Time
}

func newLink(t *Transport, conn *quic.Conn, host string, dialed net.IP) *link {
	return &link{
		t:       t,
		conn:    conn,
		host:    host,
		address: unmapped(conn.RemoteAddr().(*net.UDPAddr).AddrPort()),
		dialed:  dialed,
		since:   time.Now(),
		streams: make(chan []byte, streamQueue),
		current: conn.ConnectionState().TLS.NegotiatedProtocol == protocol,
	}
}

// start begins to read and write. The transport's lock is held, so that none
// of the goroutines starts after Close has begun to wait.
func (l *link) start() {
	l.t.group.Go(l.readDatagrams)
	l.t.group.Go(l.acceptStreams)
	l.t.group.Go(l.writeStreams)
	l.t.group.Go(l.end)
}

// end waits for the end of the connection.
func (l *link) end() {
	<-l.conn.Context().Done()
	l.t.remove(l)
	l.noteRefusal(context.Cause(l.conn.Context()))
}

// noteRefusal reports a peer that refused this host's key. With TLS 1.3 the
// side that dials sees its own handshake complete before the other side has
// checked the certificate.
func (l *link) noteRefusal(cause error) {
	var failure *quic.TransportError
	if !errors.As(cause, &failure) || !failure.Remote || !failure.ErrorCode.IsCryptoError() {
		return
	}
	l.t.config.Count(CounterHandshakes, handshakeRefusedBy, 1)
	l.t.refusals.warn("peer refused this host", l.address.String(), failure.Error())
	l.t.config.Receive(core.PeerUnreachable{Address: l.address.String()})
}

func (l *link) close(code quic.ApplicationErrorCode, reason string) {
	l.closed.Do(func() {
		l.t.config.Count(CounterClosed, reason, 1)
		l.conn.CloseWithError(code, reason)
	})
}

// unmapped returns an address in the form in which it is compared.
func unmapped(address netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

func (l *link) dead() bool { return l.conn.Context().Err() != nil }

// silent reports whether the peer has acknowledged nothing for too long. It is
// called before each message.
func (l *link) silent(now time.Time) bool {
	packets := l.conn.ConnectionStats().PacketsReceived
	if packets != l.packets {
		l.packets = packets
		l.unanswered = time.Time{}
		return false
	}
	return !l.unanswered.IsZero() && now.Sub(l.unanswered) >= silentAfter
}

// write sends encoded messages. It returns the reason when it cannot.
func (l *link) write(raw []byte) (way, dropped string) {
	if l.unanswered.IsZero() {
		l.unanswered = time.Now()
	}
	l.noteWrite()
	if len(raw) <= datagramLimit {
		err := l.writeDatagram(raw)
		var tooLarge *quic.DatagramTooLargeError
		if err == nil {
			return wayDatagram, ""
		}
		if !errors.As(err, &tooLarge) {
			return "", droppedFailed
		}
	}
	if l.queuedBytes.Add(int64(len(raw))) > streamQueueBytes {
		l.queuedBytes.Add(-int64(len(raw)))
		return "", droppedStreams
	}
	select {
	case l.streams <- raw:
		return wayStream, ""
	default:
		l.queuedBytes.Add(-int64(len(raw)))
		return "", droppedStreams
	}
}

func (l *link) writeDatagram(raw []byte) error {
	watchdog := time.AfterFunc(writeTimeout, func() { l.close(codeSilent, closedSilent) })
	defer watchdog.Stop()
	return l.conn.SendDatagram(raw)
}

func (l *link) writeStreams() {
	for {
		select {
		case <-l.conn.Context().Done():
			return
		case raw := <-l.streams:
			if err := l.writeStream(raw); err != nil {
				l.t.config.Count(CounterDropped, droppedFailed, 1)
			}
			l.queuedBytes.Add(-int64(len(raw)))
		}
	}
}

func (l *link) writeStream(raw []byte) error {
	ctx, cancel := context.WithTimeout(l.conn.Context(), streamTimeout)
	defer cancel()
	stream, err := l.conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	stream.SetWriteDeadline(time.Now().Add(streamTimeout))
	if err := l.writeTo(stream, raw); err != nil {
		stream.CancelWrite(0)
		return err
	}
	l.noteWrite()
	return stream.Close()
}

func (l *link) writeTo(stream *quic.SendStream, raw []byte) error {
	if l.current {
		return writeCompressed(stream, raw)
	}
	_, err := stream.Write(raw)
	return err
}

func (l *link) readFrom(stream *quic.ReceiveStream) ([]byte, error) {
	if l.current {
		return readCompressed(stream)
	}
	return io.ReadAll(io.LimitReader(stream, MaxMessage+1))
}

func (l *link) readDatagrams() {
	for {
		raw, err := l.conn.ReceiveDatagram(l.conn.Context())
		if err != nil {
			return
		}
		l.receive(raw, wayDatagram)
	}
}

func (l *link) acceptStreams() {
	for {
		stream, err := l.conn.AcceptUniStream(l.conn.Context())
		if err != nil {
			return
		}
		select {
		case reads <- struct{}{}:
		case <-l.conn.Context().Done():
			return
		}
		l.t.group.Go(func() {
			defer func() { <-reads }()
			l.readStream(stream)
		})
	}
}

func (l *link) readStream(stream *quic.ReceiveStream) {
	stream.SetReadDeadline(time.Now().Add(streamTimeout))
	raw, err := l.readFrom(stream)
	if errors.Is(err, errCompressed) {
		l.noteMalformed(wayStream, err)
		return
	}
	if err != nil {
		return
	}
	if len(raw) > MaxMessage {
		stream.CancelRead(0)
	}
	l.receive(raw, wayStream)
}

// receive takes the messages of a datagram or stream, up to the first that is
// malformed.
func (l *link) receive(raw []byte, way string) {
	if len(raw) > datagramLimit {
		l.receiveLarge(raw, way)
		return
	}
	for n := 0; n == 0 || len(raw) > 0; n++ {
		if n == maxBatch {
			l.noteMalformed(way, errTooMany)
			return
		}
		message, rest, err := decodeFirst(raw)
		if err != nil {
			l.noteMalformed(way, err)
			return
		}
		l.deliver(message, raw[:len(raw)-len(rest)], way)
		raw = rest
	}
}

// receiveLarge takes a message that has a stream to itself. Without this rule,
// one stream could hold a million messages.
func (l *link) receiveLarge(raw []byte, way string) {
	message, err := Decode(raw)
	if err != nil {
		l.noteMalformed(way, err)
		return
	}
	l.deliver(message, raw, way)
}

func (l *link) deliver(message core.Message, raw []byte, way string) {
	l.t.config.Count(CounterMessagesIn, way, 1)
	bytesByKind(&message, raw, func(kind string, n int64) { l.t.config.Count(CounterBytesIn, kind, n) })
	l.t.config.Receive(core.PeerMessage{
		From:    l.host,
		Address: l.address.String(),
		Message: message,
		Bytes:   len(raw),
	})
}

func (l *link) noteMalformed(way string, err error) {
	l.t.config.Count(CounterMalformed, way, 1)
	if l.malformed.Add(1) != maxMalformed {
		return
	}
	l.t.config.Log.WithField("peer", l.host).WithField("address", l.address.String()).WithError(err).
		Warn("connection to peer closed after malformed messages")
	l.close(codeMalformed, closedMalformed)
}
