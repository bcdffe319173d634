package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"wisteriapond/core"
	"wisteriapond/document"
	"wisteriapond/keys"
)

const anyPort = "127.0.0.1:0"

var _ = Describe("two entry hosts", func() {
	var (
		ca       keys.Pair
		one, two *testHost
	)

	BeforeEach(func() {
		ca = newCA("deployment")
		one = startHost(anyPort, ca.Certificate, newKey(ca, "entry-1", validity))
		two = startHost(anyPort, ca.Certificate, newKey(ca, "entry-2", validity))
	})

	// Guards against messages that arrive modified or without the authenticated name
	// and the address of their sender, and against a connection for each message.
	It("exchange small and large messages over one connection", func() {
		sendUntilReceived(one, two, "a")
		document := core.Message{Part: bytes.Repeat([]byte{7}, document.MaxBytes)}
		one.Send(two.Address(), document)
		Eventually(two.messages).WithTimeout(waitTimeout).Should(ContainElement(HaveField("Message", document)))
		sendUntilReceived(two, one, "b")

		Expect(two.messages()[0].From).To(Equal("entry-1"))
		Expect(two.messages()[0].Address).To(Equal(one.Address()))
		Expect(one.messages()[0].From).To(Equal("entry-2"))
		Expect(one.counted(CounterHandshakes, handshakeDialed)()).To(Equal(int64(1)))
		Expect(two.counted(CounterHandshakes, handshakeDialed)()).To(BeZero())
		Expect(two.counted(CounterBytesIn, "part")()).To(BeNumerically(">", len(document.Part)))
		Expect(one.counted(CounterBytesOut, "part")()).To(Equal(two.counted(CounterBytesIn, "part")()))
		Expect(one.counted(CounterMessagesOut, transportStream)()).To(Equal(int64(1)))
	})

	// Guards against a host that does not reconnect to a peer that was down or
	// restarted.
	It("reconnect after a restart", func() {
		sendUntilReceived(one, two, "a")
		address := two.Address()
		two.stop()
		sendWhileDown := func() []core.Event {
			one.Send(address, hostMessage("b"))
			return one.received()
		}
		Eventually(sendWhileDown).WithTimeout(waitTimeout).WithPolling(50 * time.Millisecond).
			Should(ContainElement(core.PeerUnreachable{Address: address}))
		restarted := startHost(address, ca.Certificate, newKey(ca, "entry-2", validity))
		sendUntilReceived(one, restarted, "c")
	})

	// Guards against a key rotation that needs a restart or disconnects the hosts,
	// and against an old key that remains valid.
	It("switch to a new CA and reject keys of the old one", func() {
		sendUntilReceived(one, two, "a")
		next := newCA("next")
		both := slices.Concat(ca.Certificate, next.Certificate)
		reloads := make(map[*testHost]chan struct{})
		for host, name := range map[*testHost]string{one: "entry-1", two: "entry-2"} {
			reload := make(chan struct{})
			reloads[host] = reload
			ctx, cancel := context.WithCancel(context.Background())
			go host.store.Watch(ctx, time.Hour, reload)
			DeferCleanup(cancel)
			writeKey(host.files, both, newKey(next, name, validity))
			reload <- struct{}{}
		}
		sendUntilReceived(one, two, "b")
		old := startHost(anyPort, both, newKey(ca, "entry-3", validity))
		sendUntilReceived(old, one, "c")

		for host, name := range map[*testHost]string{one: "entry-1", two: "entry-2"} {
			writeKey(host.files, next.Certificate, newKey(next, name, validity))
			reloads[host] <- struct{}{}
		}
		Eventually(one.counted(CounterClosed, closedInvalidKey)).WithTimeout(waitTimeout).Should(BeNumerically(">", 0))
		sendUntilReceived(two, one, "d")
		sendRefused := func() int64 {
			old.Send(one.Address(), hostMessage("e"))
			return old.counted(CounterHandshakes, handshakeRefusedByPeer)()
		}
		Eventually(sendRefused).WithTimeout(waitTimeout).WithPolling(50 * time.Millisecond).Should(BeNumerically(">", 0))
		Expect(one.messages()).NotTo(ContainElement(HaveField("Message", hostMessage("e"))))
	})

	// Guards against an authenticated peer that floods a host with malformed or
	// oversized messages.
	It("drop malformed and oversized messages and close the connection", func() {
		key := newKey(ca, "entry-3", validity)
		conn, err := dialUnchecked(one.Address(), &key)
		Expect(err).NotTo(HaveOccurred())
		stream, err := conn.OpenUniStream()
		Expect(err).NotTo(HaveOccurred())
		go func() {
			stream.Write(make([]byte, MaxMessage+2))
			stream.Close()
		}()
		Eventually(one.counted(CounterMalformed, transportStream)).WithTimeout(waitTimeout).Should(Equal(int64(1)))
		expanding, err := conn.OpenUniStream()
		Expect(err).NotTo(HaveOccurred())
		Expect(writeCompressed(expanding, make([]byte, MaxMessage+2))).To(Succeed())
		expanding.Close()
		Eventually(one.counted(CounterMalformed, transportStream)).WithTimeout(waitTimeout).Should(Equal(int64(2)))
		sendGarbage := func() error {
			conn.SendDatagram([]byte{0xff})
			return conn.Context().Err()
		}
		Eventually(sendGarbage).WithTimeout(waitTimeout).Should(HaveOccurred())
		Expect(one.counted(CounterClosed, closedMalformed)()).To(Equal(int64(1)))
		Expect(one.messages()).To(BeEmpty())
		one.Send(two.Address(), core.Message{Part: make([]byte, MaxMessage)})
		Eventually(one.counted(CounterDropped, droppedTooLarge)).WithTimeout(waitTimeout).Should(Equal(int64(1)))
	})

	// Guards against restarts that saturate the links between regions with
	// uncompressed documents.
	It("compress documents", func() {
		part, err := os.ReadFile("../examples/boisclair/services/catalogue.json")
		Expect(err).NotTo(HaveOccurred())
		sendUntilReceived(one, two, "a")
		stats := one.allConnections()[0].conn.ConnectionStats
		before := stats().BytesSent
		one.Send(two.Address(), core.Message{Part: part})
		Eventually(two.messages).WithTimeout(waitTimeout).Should(ContainElement(HaveField("Message.Part", Equal(part))))
		sent := stats().BytesSent - before
		GinkgoWriter.Println(len(part), "bytes of a part,", sent, "sent")
		Expect(sent).To(BeNumerically("<", len(part)/2))
	})

	// Guards against a planned stop that drops queued messages, including those to
	// a peer without a connection, and against a stop that an unreachable peer
	// delays.
	It("send queued messages before they stop, within a time limit", func() {
		part := core.Message{Part: bytes.Repeat([]byte{7}, 5_000)}
		one.Send(two.Address(), part)
		one.Send(two.Address(), hostMessage("a"))
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		Expect(one.Flush(ctx)).To(BeTrue())
		one.stop()
		Eventually(two.messages).WithTimeout(waitTimeout).Should(ContainElements(
			HaveField("Message", part), HaveField("Message", hostMessage("a"))))

		address, closeSocket := startSilentPeer(newKey(ca, "gone", validity))
		closeSocket()
		two.Send(address, hostMessage("b"))
		short, cancelShort := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancelShort()
		Expect(two.Flush(short)).To(BeFalse())
	})

	// Guards against messages that are lost, merged or miscounted when they share a
	// datagram, and against datagrams with more than maxBatch messages.
	It("accept several messages in one datagram", func() {
		key := newKey(ca, "entry-3", validity)
		conn, err := dialUnchecked(one.Address(), &key)
		Expect(err).NotTo(HaveOccurred())
		shared := &batch{}
		for n := 0; ; n++ {
			message := hostMessage(string(rune('a' + n)))
			raw, err := Encode(&message)
			Expect(err).NotTo(HaveOccurred())
			if !shared.add(&message, raw) {
				break
			}
		}
		Expect(len(shared.raw)).To(BeNumerically("<=", datagramLimit))
		Expect(len(shared.encoded)).To(Equal(maxBatch))
		// A datagram may be lost, so it is sent repeatedly. Each one that arrives
		// delivers all of its messages.
		sent := 0
		received := func() int {
			sent++
			conn.SendDatagram(shared.raw)
			return len(one.messages())
		}
		Eventually(received).WithTimeout(waitTimeout).Should(BeNumerically(">=", maxBatch))
		incomplete := func() int { return len(one.messages()) % maxBatch }
		Eventually(incomplete).WithTimeout(waitTimeout).Should(BeZero())
		messages := one.messages()
		Expect(len(messages)).To(BeNumerically("<=", sent*maxBatch))
		for i, message := range messages {
			Expect(message.Message).To(Equal(*shared.encoded[i%maxBatch].message))
			Expect(message.Bytes).To(Equal(len(shared.encoded[i%maxBatch].raw)))
		}
		conn.SendDatagram(append(shared.raw, shared.raw...)[:datagramLimit])
		Eventually(one.counted(CounterMalformed, transportDatagram)).WithTimeout(waitTimeout).Should(BeNumerically(">", 0))
	})

	// Guards against a rolling upgrade that disconnects hosts of two releases, or
	// sends shared datagrams to a host that cannot decode them.
	It("exchange messages with a host of the previous release", func() {
		old := startHost(anyPort, ca.Certificate, newKey(ca, "entry-3", validity))
		old.offeredProtocols = []string{protocolV1}
		sendUntilReceived(old, one, "a")
		sendUntilReceived(one, old, "b")
		Expect(one.allConnections()[0].usesV2).To(BeFalse())
	})

	// Guards against a peer that reads nothing and thereby blocks the control
	// goroutine or the messages to other peers.
	It("are not blocked by a slow peer", func() {
		slow := startSlowPeer(newKey(ca, "slow", validity))
		part := make([]byte, document.MaxBytes)
		for range 10 * sendQueueSize {
			one.Send(slow, core.Message{Part: part})
		}
		Eventually(one.counted(CounterDropped, droppedQueueFull)).WithTimeout(waitTimeout).Should(BeNumerically(">", 0))
		sendUntilReceived(one, two, "a")
	})

	// Guards against a host that keeps sending for minutes to a peer that went down
	// without closing its connections.
	It("detect a peer that stops responding", func() {
		address, closeSocket := startSilentPeer(newKey(ca, "gone", validity))
		one.Send(address, hostMessage("a"))
		Eventually(one.counted(CounterHandshakes, handshakeDialed)).WithTimeout(waitTimeout).Should(Equal(int64(1)))
		closeSocket()
		sendUnacknowledged := func() int64 {
			one.Send(address, hostMessage("b"))
			return one.counted(CounterClosed, closedUnresponsive)()
		}
		Eventually(sendUnacknowledged).WithTimeout(waitTimeout).WithPolling(50 * time.Millisecond).Should(Equal(int64(1)))
		Eventually(one.received).WithTimeout(waitTimeout).Should(ContainElement(core.PeerUnreachable{Address: address}))
	})

	// Guards against a peer table that grows without bound, and against invalid
	// addresses.
	It("limit the number of peers", func() {
		one.Transport.mu.Lock()
		for port := range maxPeers {
			one.Transport.peers[testAddress(port)] = &peer{queue: make(chan *outgoing, 1)}
		}
		one.Transport.mu.Unlock()
		one.Send(two.Address(), hostMessage("a"))
		Expect(one.counted(CounterDropped, droppedTooManyPeers)()).To(Equal(int64(1)))
		one.Send("nonsense", hostMessage("a"))
		one.Send(one.Address(), hostMessage("a"))
		Expect(one.counted(CounterDropped, droppedInvalidAddress)()).To(Equal(int64(2)))
		Eventually(one.received).WithTimeout(waitTimeout).Should(ContainElement(core.PeerUnreachable{Address: two.Address()}))
	})
})

var _ = Describe("a host without a valid key", func() {
	var (
		ca  keys.Pair
		one *testHost
	)

	BeforeEach(func() {
		ca = newCA("deployment")
		one = startHost(anyPort, ca.Certificate, newKey(ca, "entry-1", validity))
	})

	// Guards against processes without a valid key that read or send messages, and
	// against rejections whose reason is not logged.
	DescribeTable("is rejected", func(key func() *keys.Pair, reason string) {
		conn, err := dialUnchecked(one.Address(), key())
		if err == nil {
			raw, _ := Encode(&core.Message{Part: []byte("x")})
			conn.SendDatagram(raw)
			Eventually(conn.Context().Done()).WithTimeout(waitTimeout).Should(BeClosed())
			_, err = conn.ReceiveDatagram(context.Background())
		}
		Expect(err).To(HaveOccurred())
		Eventually(one.counted(CounterHandshakes, handshakeRefused)).WithTimeout(waitTimeout).Should(Equal(int64(1)))
		Eventually(one.reasons).WithTimeout(waitTimeout).Should(ContainElement(ContainSubstring(reason)))
		Expect(one.counted(CounterHandshakes, handshakeAccepted)()).To(BeZero())
		Expect(one.received()).To(BeEmpty())
	},
		Entry("no key", func() *keys.Pair { return nil }, "no certificate"),
		Entry("an expired key", func() *keys.Pair {
			key := newKey(ca, "entry-2", -time.Minute)
			return &key
		}, "expired"),
		Entry("a key from another CA with the same name", func() *keys.Pair {
			key := newKey(newCA("deployment"), "entry-2", validity)
			return &key
		}, "unknown authority"),
	)

	// Guards against unauthenticated processes that use unbounded memory for pending
	// handshakes, against finished handshakes that still count as pending, and
	// against address validation that rejects peers.
	It("is subject to the limit on pending handshakes", func() {
		two := startHost(anyPort, ca.Certificate, newKey(ca, "entry-2", validity))
		one.pendingHandshakes.Store(maxPendingHandshakes)
		_, err := dialUnchecked(one.Address(), nil)
		Expect(err).To(HaveOccurred())
		Expect(one.counted(CounterHandshakes, handshakeTooManyPending)()).To(BeNumerically(">", 0))
		one.pendingHandshakes.Store(addressValidationThreshold)
		sendUntilReceived(two, one, "a")
		// Delayed packets of the rejected client may start another handshake, which
		// counts as pending until it times out.
		Eventually(one.pendingHandshakes.Load).WithTimeout(waitTimeout).Should(BeEquivalentTo(addressValidationThreshold))
	})

	// Guards against a host that sends its messages to an impostor at the address of
	// a peer.
	It("receives no messages from a host that dials it", func() {
		other := newCA("deployment")
		impostor := startHost(anyPort, other.Certificate, newKey(other, "entry-2", validity))
		one.Send(impostor.Address(), hostMessage("a"))
		Eventually(one.received).WithTimeout(waitTimeout).
			Should(ContainElement(core.PeerUnreachable{Address: impostor.Address()}))
		Expect(one.counted(CounterHandshakes, handshakeRefused)()).To(BeNumerically(">", 0))
		Expect(impostor.messages()).To(BeEmpty())
	})
})

// startSlowPeer starts a peer that accepts connections and reads nothing. It
// returns its address.
func startSlowPeer(pair keys.Pair) string {
	address, _ := startSilentPeer(pair)
	return address
}

// startSilentPeer starts a peer that accepts connections and reads nothing.
// closeSocket stops it without closing the connections.
func startSilentPeer(pair keys.Pair) (address string, closeSocket func()) {
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	Expect(err).NotTo(HaveOccurred())
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback})
	Expect(err).NotTo(HaveOccurred())
	transport := &quic.Transport{Conn: socket}
	_, err = transport.Listen(&tls.Config{
		Certificates: []tls.Certificate{certificate},
		NextProtos:   []string{protocolV2},
	}, quicConfig())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { transport.Close() })
	return socket.LocalAddr().String(), func() { socket.Close() }
}
