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
	// maxHandshakes bounds the handshakes under way that others began. The
	// sender of one is not known yet.
	maxHandshakes = 256
	// validateFrom is the number of them from which addresses are validated.
	validateFrom = 32
	// Each connection may hold this many unread streams. Their flow control
	// windows bound what a slow reader has to keep.
	maxStreams         = 4
	streamWindow       = 64 << 10
	maxStreamWindow    = 1 << 20
	connectionWindow   = 128 << 10
	maxConnWindow      = 2 << 20
	keyCheckInterval   = time.Minute
	pendingReportLimit = 256
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
	config   Config
	socket   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	own      netip.AddrPort
	refusals refusalLog
	reports  chan string
	// offered lists the protocols that this host offers when it dials.
	offered []string
	// waiting counts the messages that are queued or about to be written.
	waiting atomic.Int64
	// handshakes counts those under way that other processes began.
	handshakes atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu     sync.Mutex
	peers  map[netip.AddrPort]*peer
	links  map[*link]struct{}
	routes map[netip.AddrPort]*link
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
		config:   config,
		socket:   socket,
		own:      unmapped(socket.LocalAddr().(*net.UDPAddr).AddrPort()),
		refusals: refusalLog{log: config.Log},
		reports:  make(chan string, pendingReportLimit),
		offered:  protocols,
		peers:    make(map[netip.AddrPort]*peer),
		links:    make(map[*link]struct{}),
		routes:   make(map[netip.AddrPort]*link),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	// The key outlives a restart, so that peers of a restarted host learn at
	// once that their connections are gone.
	reset := quic.StatelessResetKey(config.Keys.Current().DerivedSecret)
	t.quic = &quic.Transport{
		Conn:               socket,
		ConnectionIDLength: connectionIDSize,
		StatelessResetKey:  &reset,
		ConnContext:        t.beginHandshake,
		// Forged addresses could otherwise fill the bound on handshakes.
		VerifySourceAddress: t.validateAddress,
	}
	if t.listener, err = t.quic.Listen(t.serverConfig(), quicConfig()); err != nil {
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
		MaxConnectionReceiveWindow:     maxConnWindow,
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
	defer context.AfterFunc(ctx, t.end)()
	t.group.Go(t.reportUnreachable)
	t.group.Go(t.checkKeys)
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
	t.end()
	for _, l := range t.allLinks() {
		l.conn.CloseWithError(codeStopped, "host stops")
	}
	t.listener.Close()
	t.group.Wait()
	t.quic.Close()
	t.socket.Close()
}

// end stops the goroutines. It takes the lock, so that none is started for a
// peer or a connection afterwards.
func (t *Transport) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel()
}

// beginHandshake runs for the first packet of a connection. The context ends
// with the connection, so that a handshake which fails anywhere is counted.
func (t *Transport) beginHandshake(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	h := &handshake{remote: info.RemoteAddr.String()}
	if t.handshakes.Add(1) > maxHandshakes {
		t.handshakes.Add(-1)
		t.config.Count(CounterHandshakes, handshakeTooMany, 1)
		return nil, errTooManyHandshakes
	}
	h.release = sync.OnceFunc(func() { t.handshakes.Add(-1) })
	context.AfterFunc(ctx, func() { t.handshakeEnded(h, context.Cause(ctx)) })
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

// validateAddress reports whether a new connection must first prove that it
// receives packets at its address, which costs it a round trip.
func (t *Transport) validateAddress(net.Addr) bool {
	return t.handshakes.Load() >= validateFrom
}

func (t *Transport) handshakeEnded(h *handshake, cause error) {
	h.release()
	if h.accepted.Load() || t.ctx.Err() != nil {
		return
	}
	if reason := h.refusal.Load(); reason != nil {
		t.config.Count(CounterHandshakes, handshakeRefused, 1)
		t.refusals.warn("peer refused", h.remote, *reason)
		return
	}
	t.config.Count(CounterHandshakes, handshakeFailed, 1)
	t.refusals.warn("handshake with peer failed", h.remote, errorText(cause))
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
		t.refusals.warn("peer refused", conn.RemoteAddr().String(), err.Error())
		conn.CloseWithError(codeKey, "key is not valid")
		return
	}
	t.config.Count(CounterHandshakes, handshakeAccepted, 1)
	t.add(newLink(t, conn, host, nil))
}

// add takes a new connection into use. It becomes the route to its address,
// since the host at the other end may have restarted.
func (t *Transport) add(l *link) bool {
	t.mu.Lock()
	if t.ctx.Err() != nil || len(t.links) >= maxPeers {
		t.mu.Unlock()
		t.config.Count(CounterClosed, closedTooMany, 1)
		l.conn.CloseWithError(codeTooMany, "too many connections")
		return false
	}
	surplus := t.surplusOf(l.host)
	t.links[l] = struct{}{}
	t.routes[l.address] = l
	p := t.peers[l.address]
	l.start()
	t.mu.Unlock()
	if surplus != nil {
		surplus.close(codeTooMany, closedTooMany)
	}
	if p != nil {
		p.linked()
	}
	return true
}

// surplusOf returns the oldest connection of a host that has too many.
func (t *Transport) surplusOf(host string) *link {
	var oldest *link
	n := 0
	for l := range t.links {
		if l.host != host {
			continue
		}
		n++
		if oldest == nil || l.since.Before(oldest.since) {
			oldest = l
		}
	}
	if n < maxPerHost {
		return nil
	}
	return oldest
}

func (t *Transport) remove(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.links, l)
	if t.routes[l.address] == l {
		delete(t.routes, l.address)
	}
}

func (t *Transport) route(address netip.AddrPort) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routes[address]
}

func (t *Transport) allLinks() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	links := make([]*link, 0, len(t.links))
	for l := range t.links {
		links = append(links, l)
	}
	return links
}

// KeysChanged checks the open connections against the key in force.
func (t *Transport) KeysChanged() {
	bundle := t.config.Keys.Current()
	now := time.Now()
	for _, l := range t.allLinks() {
		certificates := l.conn.ConnectionState().TLS.PeerCertificates
		if _, err := bundle.VerifyPeer(certificates, l.dialed, now); err != nil {
			t.refusals.warn("connection to peer closed", l.address.String(), err.Error())
			l.close(codeKey, closedKey)
		}
	}
}

// checkKeys ends connections whose certificates have expired since.
func (t *Transport) checkKeys() {
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
			t.KeysChanged()
		}
	}
}

// reportUnreachable passes on what Send finds, since Send must not block.
func (t *Transport) reportUnreachable() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case address := <-t.reports:
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
