// Package peer carries messages between entry hosts over QUIC with mutual TLS.
// A process without a key of the deployment neither learns nor changes
// anything: its handshake fails before a message is read or written.
//
// Small messages travel as datagrams, which may be lost; larger ones as one
// stream each. Small messages to one peer that wait at the same time share a
// datagram. Messages are not ordered among each other. Sending never
// blocks: each peer has a bounded queue and a goroutine of its own.
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
	// maxPeers bounds the peers with a queue and, separately, the connections.
	maxPeers = 4096
	// maxPerHost bounds the connections of one host. A host that restarts
	// leaves connections behind until they are found to be dead.
	maxPerHost = 8
	// idleTimeout is long enough that a host which pings one random peer a
	// second finds most of 200 peers still connected; a handshake costs about
	// forty times the bytes of a ping.
	idleTimeout      = 5 * time.Minute
	handshakeTimeout = 2 * time.Second
	connectionIDSize = 8
	// maxPendingHandshakes bounds the handshakes under way that others began. The
	// sender of one is not known yet.
	maxPendingHandshakes = 256
	// addressValidationThreshold is the number of them from which addresses are validated.
	addressValidationThreshold = 32
	// Each connection may hold this many unread streams. Their flow control
	// windows bound what a slow reader has to keep.
	maxStreams          = 4
	streamWindow        = 64 << 10
	maxStreamWindow     = 1 << 20
	connectionWindow    = 128 << 10
	maxConnectionWindow = 2 << 20
	keyCheckInterval    = time.Minute
	maxPendingReports   = 256
)

var errTooManyHandshakes = errors.New("too many handshakes")

// Config is what a transport needs.
type Config struct {
	// Listen is the UDP address of this host for its peers.
	Listen string
	Keys   *keys.Store
	Log    log.Interface
	// Count adds to a counter.
	Count func(counter core.Counter, label string, n int64)
	// Receive takes PeerMessage and PeerUnreachable events. It may block.
	Receive func(event core.Event)
}

// Error is a transport that could not be started.
type Error struct {
	Address string
	Err     error
}

func (e *Error) Error() string { return fmt.Sprintf("peer transport on %s: %v", e.Address, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Transport holds the connections to other entry hosts. One socket serves both
// directions, so that a connection can be used by either side whichever opened
// it.
type Transport struct {
	config      Config
	socket      *net.UDPConn
	quic        *quic.Transport
	listener    *quic.Listener
	own         netip.AddrPort
	securityLog limitedLog
	unreachable chan string
	// offeredProtocols lists the protocols that this host offers when it dials.
	offeredProtocols []string
	// pendingMessages counts the messages that are queued or about to be written.
	pendingMessages atomic.Int64
	// pendingHandshakes counts those under way that other processes began.
	pendingHandshakes atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu          sync.Mutex
	peers       map[netip.AddrPort]*peer
	connections map[*connection]struct{}
	byAddress   map[netip.AddrPort]*connection
}

// Listen opens the socket. Run accepts peers.
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
		securityLog:      limitedLog{log: config.Log},
		unreachable:      make(chan string, maxPendingReports),
		offeredProtocols: protocols,
		peers:            make(map[netip.AddrPort]*peer),
		connections:      make(map[*connection]struct{}),
		byAddress:        make(map[netip.AddrPort]*connection),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	// The key outlives a restart, so that peers of a restarted host learn at
	// once that their connections are gone.
	reset := quic.StatelessResetKey(config.Keys.Current().Digest)
	t.quic = &quic.Transport{
		Conn:               socket,
		ConnectionIDLength: connectionIDSize,
		StatelessResetKey:  &reset,
		ConnContext:        t.startHandshake,
		// Forged addresses could otherwise fill the bound on handshakes.
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
		// Probes for larger packets more than double the bytes of a connection,
		// and nearly all messages fit into the smallest packet.
		DisablePathMTUDiscovery: true,
	}
}

// Address returns the address of this host for its peers.
func (t *Transport) Address() string { return t.own.String() }

// Run accepts peers until ctx is done or Close is called. It returns when
// every goroutine of the transport has ended.
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
		return &Error{Address: t.Address(), Err: errors.New("the listener ended")}
	}
	return nil
}

// Close ends every connection and waits for the goroutines of the transport.
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

// shutdown stops the goroutines. It takes the lock, so that none is started for a
// peer or a connection afterwards.
func (t *Transport) shutdown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel()
}

// startHandshake runs for the first packet of a connection. The context ends
// with the connection, so that a handshake which fails anywhere is counted.
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

// validateAddress reports whether a new connection must first prove that it
// receives packets at its address, which costs it a round trip.
func (t *Transport) validateAddress(net.Addr) bool {
	return t.pendingHandshakes.Load() >= addressValidationThreshold
}

func (t *Transport) handshakeEnded(h *handshake, cause error) {
	h.release()
	if h.accepted.Load() || t.ctx.Err() != nil {
		return
	}
	if reason := h.refusal.Load(); reason != nil {
		t.config.Count(CounterHandshakes, handshakeRefused, 1)
		t.securityLog.warn("peer refused", h.remote, *reason)
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
		t.securityLog.warn("peer refused", conn.RemoteAddr().String(), err.Error())
		conn.CloseWithError(codeInvalidKey, "key is not valid")
		return
	}
	t.config.Count(CounterHandshakes, handshakeAccepted, 1)
	t.add(newConnection(t, conn, host, nil))
}

// add takes a new connection into use. It becomes the route to its address,
// since the host at the other end may have restarted.
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

// connectionToEvict returns the oldest connection of a host that has too many.
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

// VerifyConnections checks the open connections against the key in force.
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

// verifyPeriodically ends connections whose certificates have expired since.
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

// reportUnreachable passes on what Send finds, since Send must not block.
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
