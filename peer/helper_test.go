package peer

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"wisteriapond/core"
	"wisteriapond/keys"
)

// waitTimeout bounds every wait for a condition. Each condition is normally met in
// far less time.
const waitTimeout = 60 * time.Second

const validity = 24 * time.Hour

var loopback = net.IPv4(127, 0, 0, 1)

func newCA(name string) keys.Pair {
	ca, err := keys.NewCA(name, time.Now(), validity)
	Expect(err).NotTo(HaveOccurred())
	return ca
}

func newKey(ca keys.Pair, host string, validity time.Duration) keys.Pair {
	pair, err := keys.NewHost(ca, host, []net.IP{loopback}, time.Now(), validity)
	Expect(err).NotTo(HaveOccurred())
	return pair
}

// testHost is a transport that records its events, counters and log entries.
type testHost struct {
	*Transport
	files keys.Files
	store *keys.Store

	mu     sync.Mutex
	events []core.Event
	counts map[string]int64
	logs   *memory.Handler
	stop   func()
}

func writeKey(files keys.Files, ca []byte, pair keys.Pair) {
	Expect(os.WriteFile(files.CA, ca, 0o600)).To(Succeed())
	Expect(os.WriteFile(files.Certificate, pair.Certificate, 0o600)).To(Succeed())
	Expect(os.WriteFile(files.Key, pair.Key, 0o600)).To(Succeed())
}

func startHost(address string, ca []byte, pair keys.Pair) *testHost {
	directory := GinkgoT().TempDir()
	h := &testHost{
		files: keys.Files{
			CA:          filepath.Join(directory, "ca"),
			Certificate: filepath.Join(directory, "certificate"),
			Key:         filepath.Join(directory, "key"),
		},
		counts: make(map[string]int64),
		logs:   memory.New(),
	}
	writeKey(h.files, ca, pair)
	logger := &log.Logger{Handler: h}
	var err error
	h.store, err = keys.Open(h.files, logger)
	Expect(err).NotTo(HaveOccurred())
	h.Transport, err = Listen(Config{Listen: address, Keys: h.store, Log: logger, Count: h.count, Receive: h.receive})
	Expect(err).NotTo(HaveOccurred())
	h.store.OnChange(h.VerifyConnections)
	ctx, cancel := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- h.Run(ctx) }()
	h.stop = sync.OnceFunc(func() {
		cancel()
		Eventually(runResult).WithTimeout(waitTimeout).Should(Receive(BeNil()))
	})
	DeferCleanup(h.stop)
	return h
}

// HandleLog records a log entry.
func (h *testHost) HandleLog(entry *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.logs.HandleLog(entry)
}

func (h *testHost) count(counter core.Counter, label string, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[string(counter)+" "+label] += n
}

func (h *testHost) receive(event core.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

func (h *testHost) counted(counter core.Counter, label string) func() int64 {
	return func() int64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.counts[string(counter)+" "+label]
	}
}

func (h *testHost) received() []core.Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

func (h *testHost) messages() []core.PeerMessage {
	var messages []core.PeerMessage
	for _, event := range h.received() {
		if message, ok := event.(core.PeerMessage); ok {
			messages = append(messages, message)
		}
	}
	return messages
}

func (h *testHost) reasons() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var reasons []string
	for _, entry := range h.logs.Entries {
		if reason, ok := entry.Fields["reason"].(string); ok {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

func hostMessage(name string) core.Message {
	return core.Message{Hosts: []core.HostEntry{{Host: name, Epoch: 1, Leaving: true}}}
}

// sendUntilReceived sends a message repeatedly until it arrives, since datagrams
// may be lost.
func sendUntilReceived(from, to *testHost, name string) {
	send := func() []core.PeerMessage {
		from.Send(to.Address(), hostMessage(name))
		return to.messages()
	}
	EventuallyWithOffset(1, send).WithTimeout(waitTimeout).WithPolling(50 * time.Millisecond).
		Should(ContainElement(HaveField("Message", hostMessage(name))))
}

// dialUnchecked dials a host without verifying its certificate.
func dialUnchecked(address string, pair *keys.Pair) (*quic.Conn, error) {
	config := &tls.Config{NextProtos: []string{protocolV2}, InsecureSkipVerify: true}
	if pair != nil {
		certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
		Expect(err).NotTo(HaveOccurred())
		config.Certificates = []tls.Certificate{certificate}
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return quic.DialAddr(ctx, address, config, quicConfig())
}
