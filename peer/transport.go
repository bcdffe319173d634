// Package peer sends messages between entry hosts over QUIC with mutual TLS. A
// process without a key of the deployment can neither read nor send messages: its
// handshake fails first.
//
// Small messages are sent as datagrams, which may be lost, and each larger message
// in a stream of its own. Small messages that are queued for the same peer at the
// same time share a datagram. Messages may arrive in any order. Sending never
// blocks: each peer has a bounded queue and its own goroutine.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/quic-go/quic-go"

	"wisteriapond/core"
	"wisteriapond/keys"
)

const (
	// maxPeers bounds the number of peers with a queue and, separately, the number
	// of connections.
	maxPeers = 4096
	// maxPerHost bounds the connections of one host. A host that restarts leaves
	// connections behind that stay open until they are found to be dead.
	maxPerHost = 8
	// idleTimeout is long enough that a host which pings one random peer per second
	// is still connected to most of 200 peers. A handshake costs about forty times
	// the bytes of a ping.
	idleTimeout      = 5 * time.Minute
	handshakeTimeout = 2 * time.Second
	// connectionIDSize is the size of a QUIC connection ID in bytes.
	connectionIDSize = 8
	// maxPendingHandshakes bounds the pending handshakes that other processes
	// started. Their senders are not authenticated yet.
	maxPendingHandshakes = 256
	// addressValidationThreshold is the number of pending handshakes from which
	// client addresses are validated.
	addressValidationThreshold = 32
	// maxStreams bounds the unread streams of one connection. The flow control
	// windows below, in bytes, bound the data buffered for a slow reader.
	maxStreams          = 4
	streamWindow        = 64 << 10
	maxStreamWindow     = 1 << 20
	connectionWindow    = 128 << 10
	maxConnectionWindow = 2 << 20
	// keyCheckInterval is the time between two verifications of the certificates of
	// open connections.
	keyCheckInterval = time.Minute
	// maxPendingReports bounds the PeerUnreachable events that Send has queued.
	maxPendingReports = 256
)

var errTooManyHandshakes = errors.New("too many pending handshakes")

// Config holds the settings and dependencies of a Transport.
type Config struct {
	// Listen is the UDP address on which this host accepts peers.
	Listen string
	Keys   *keys.Store
	Log    log.Interface
	// Count adds n to the counter with the given label.
	Count func(counter core.Counter, label string, n int64)
	// Receive is called with PeerMessage and PeerUnreachable events. It may block.
	Receive func(event core.Event)
}

// Error reports that the transport could not be started, or that it stopped
// unexpectedly.
type Error struct {
	Address string
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("peer transport on %s: %v", e.Address, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Transport holds the connections to other entry hosts. One socket serves both
// directions, so that either side can use a connection, whichever opened it.
type Transport struct {
	config      Config
	socket      *net.UDPConn
	quic        *quic.Transport
	listener    *quic.Listener
	own         netip.AddrPort
	securityLog rateLimitedLog
	unreachable chan string
	// offeredProtocols are the ALPN protocols that this host offers when it dials.
	offeredProtocols []string
	// pendingMessages is the number of messages that are queued or about to be
	// written.
	pendingMessages atomic.Int64
	// pendingHandshakes is the number of pending handshakes that other processes
	// started.
	pendingHandshakes atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu          sync.Mutex
	peers       map[netip.AddrPort]*peer
	connections map[*connection]struct{}
	byAddress   map[netip.AddrPort]*connection
}

// Listen opens the socket and returns a transport. Run accepts peers.
func Listen(config Config) (*Transport, error) {
	address, err := net.ResolveUDPAddr("udp", config.Listen)
	if err != nil {
		return nil, &Error{Address: config.Listen, Err: err}
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, &Error{Address: config.Listen, Err: err}
	}
	t := &Transport{
		config:           config,
		socket:           socket,
		own:              unmapped(socket.LocalAddr().(*net.UDPAddr).AddrPort()),
		securityLog:      rateLimitedLog{log: config.Log},
		unreachable:      make(chan string, maxPendingReports),
		offeredProtocols: protocols,
		peers:            make(map[netip.AddrPort]*peer),
		connections:      make(map[*connection]struct{}),
		byAddress:        make(map[netip.AddrPort]*connection),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	// The reset key is derived from the private key and survives a restart, so that
	// peers of a restarted host learn immediately that their connections are closed.
	reset := quic.StatelessResetKey(config.Keys.Current().DerivedSecret)
	t.quic = &quic.Transport{
		Conn:               socket,
		ConnectionIDLength: connectionIDSize,
		StatelessResetKey:  &reset,
		ConnContext:        t.startHandshake,
		// Without validation, packets with forged addresses could use up the limit on
		// pending handshakes.
		VerifySourceAddress: t.validateAddress,
	}
	if t.listener, err = t.quic.Listen(t.serverTLSConfig(), quicConfig()); err != nil {
		t.cancel()
		socket.Close()
		return nil, &Error{Address: config.Listen, Err: err}
	}
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          maxStreams,
		EnableDatagrams:                true,
		// Probing for larger packets more than doubles the bytes of a connection, and
		// nearly all messages fit into the smallest packet.
		DisablePathMTUDiscovery: true,
	}
}

// Address returns the address on which this host accepts peers.
func (t *Transport) Address() string { return t.own.String() }

// Run accepts peers until ctx is done or Close is called. It returns after every
// goroutine of the transport has ended.
func (t *Transport) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, t.shutdown)()
	t.group.Go(t.reportUnreachable)
	t.group.Go(t.verifyPeriodically)
	for {
		conn, err := t.listener.Accept(t.ctx)
		if err != nil {
			break
		}
		t.accept(conn)
	}
	stopped := t.ctx.Err() != nil
	t.Close()
	if !stopped {
		return &Error{Address: t.Address(), Err: errors.New("listener closed unexpectedly")}
	}
	return nil
}

// Close closes all connections and the socket, and waits for the goroutines of the
// transport.
func (t *Transport) Close() {
	t.shutdown()
	for _, c := range t.allConnections() {
		c.conn.CloseWithError(codeStopped, "host stops")
	}
	t.listener.Close()
	t.group.Wait()
	t.quic.Close()
	t.socket.Close()
}

// shutdown cancels the context of the goroutines. It holds the lock, so that no
// goroutine is started for a peer or a connection afterwards.
func (t *Transport) shutdown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel()
}

// startHandshake is called for the first packet of an incoming connection. The
// context is done when the connection closes, so that a handshake is counted
// wherever it fails.
func (t *Transport) startHandshake(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	h := &handshake{remote: info.RemoteAddr.String()}
	if t.pendingHandshakes.Add(1) > maxPendingHandshakes {
		t.pendingHandshakes.Add(-1)
		t.config.Count(CounterHandshakes, handshakeTooManyPending, 1)
		return nil, errTooManyHandshakes
	}
	h.release = sync.OnceFunc(func() { t.pendingHandshakes.Add(-1) })
	context.AfterFunc(ctx, func() { t.handshakeEnded(h, context.Cause(ctx)) })
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

// validateAddress reports whether a client must first prove that it receives
// packets at its address, which costs one round trip.
func (t *Transport) validateAddress(net.Addr) bool {
	return t.pendingHandshakes.Load() >= addressValidationThreshold
}

func (t *Transport) handshakeEnded(h *handshake, cause error) {
	h.release()
	if h.accepted.Load() || t.ctx.Err() != nil {
		return
	}
	if reason := h.rejection.Load(); reason != nil {
		t.config.Count(CounterHandshakes, handshakeRefused, 1)
		t.securityLog.warn("peer certificate rejected", h.remote, *reason)
		return
	}
	t.config.Count(CounterHandshakes, handshakeFailed, 1)
	t.securityLog.warn("handshake with peer failed", h.remote, errorText(cause))
}

func (t *Transport) accept(conn *quic.Conn) {
	h, _ := conn.Context().Value(handshakeKey{}).(*handshake)
	if h != nil {
		h.accepted.Store(true)
		h.release()
	}
	certificates := conn.ConnectionState().TLS.PeerCertificates
	host, err := t.config.Keys.Current().VerifyPeer(certificates, nil, time.Now())
	if err != nil {
		t.config.Count(CounterHandshakes, handshakeRefused, 1)
		t.securityLog.warn("peer certificate rejected", conn.RemoteAddr().String(), err.Error())
		conn.CloseWithError(codeInvalidKey, "key is not valid")
		return
	}
	t.config.Count(CounterHandshakes, handshakeAccepted, 1)
	t.add(newConnection(t, conn, host, nil))
}

// add registers and starts a new connection. Messages to its address are sent over
// it from now on and no longer over an older connection, since the host at that
// address may have restarted. It reports false if it closed the connection instead,
// because there are too many or the transport is shut down.
func (t *Transport) add(c *connection) bool {
	t.mu.Lock()
	if t.ctx.Err() != nil || len(t.connections) >= maxPeers {
		t.mu.Unlock()
		t.config.Count(CounterClosed, closedTooManyConnections, 1)
		c.conn.CloseWithError(codeTooMany, "too many connections")
		return false
	}
	evicted := t.connectionToEvict(c.host)
	t.connections[c] = struct{}{}
	t.byAddress[c.address] = c
	p := t.peers[c.address]
	c.start()
	t.mu.Unlock()
	if evicted != nil {
		evicted.close(codeTooMany, closedTooManyConnections)
	}
	if p != nil {
		p.notifyConnected()
	}
	return true
}

// connectionToEvict returns the oldest connection of a host that already has
// maxPerHost connections, otherwise nil. The caller holds the lock.
func (t *Transport) connectionToEvict(host string) *connection {
	var oldest *connection
	n := 0
	for c := range t.connections {
		if c.host != host {
			continue
		}
		n++
		if oldest == nil || c.openedAt.Before(oldest.openedAt) {
			oldest = c
		}
	}
	if n < maxPerHost {
		return nil
	}
	return oldest
}

func (t *Transport) remove(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.connections, c)
	if t.byAddress[c.address] == c {
		delete(t.byAddress, c.address)
	}
}

func (t *Transport) connectionTo(address netip.AddrPort) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byAddress[address]
}

func (t *Transport) allConnections() []*connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	connections := make([]*connection, 0, len(t.connections))
	for c := range t.connections {
		connections = append(connections, c)
	}
	return connections
}

// VerifyConnections verifies the peer certificates of all open connections against
// the CAs in force and closes the connections that fail.
func (t *Transport) VerifyConnections() {
	bundle := t.config.Keys.Current()
	now := time.Now()
	for _, c := range t.allConnections() {
		certificates := c.conn.ConnectionState().TLS.PeerCertificates
		if _, err := bundle.VerifyPeer(certificates, c.dialed, now); err != nil {
			t.securityLog.warn("connection to peer closed", c.address.String(), err.Error())
			c.close(codeInvalidKey, closedInvalidKey)
		}
	}
}

// verifyPeriodically closes connections whose certificates have expired since the
// handshake.
func (t *Transport) verifyPeriodically() {
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
			t.VerifyConnections()
		}
	}
}

// reportUnreachable delivers the unreachable addresses that Send found, since Send
// must not block.
func (t *Transport) reportUnreachable() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case address := <-t.unreachable:
			t.config.Receive(core.PeerUnreachable{Address: address})
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return "unknown"
	}
	return err.Error()
}
