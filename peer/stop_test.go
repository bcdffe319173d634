package peer

import (
	"context"
	"net"
	"path/filepath"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
	"wisteriapond/keys"
)

// Guards against a transport that is stopped while its process starts, goes on accepting
// peers, and keeps the process from ending.
var _ = DescribeTable("a transport that is stopped before it runs returns at once",
	func(stop func(t *Transport, cancel context.CancelFunc)) {
		ca := newCA("ca")
		directory := GinkgoT().TempDir()
		files := keys.Files{
			CA: filepath.Join(directory, "ca.pem"), Certificate: filepath.Join(directory, "host.pem"), Key: filepath.Join(directory, "host.key"),
		}
		writeKey(files, ca.Certificate, newKey(ca, "entry-1", validity))
		logger := &log.Logger{Handler: discard.New()}
		store, err := keys.Open(files, logger)
		Expect(err).NotTo(HaveOccurred())
		transport, err := Listen(Config{
			Listen: "127.0.0.1:0", Keys: store, Log: logger,
			Count: func(core.Counter, string, int64) {}, Receive: func(core.Event) {},
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		stop(transport, cancel)
		ended := make(chan error, 1)
		go func() { ended <- transport.Run(ctx) }()
		Eventually(ended).WithTimeout(waitTimeout).Should(Receive(BeNil()))
		socket, err := net.ListenPacket("udp", transport.Address())
		Expect(err).NotTo(HaveOccurred())
		socket.Close()
	},
	Entry("by Close", func(t *Transport, _ context.CancelFunc) { t.Close() }),
	Entry("by its context", func(_ *Transport, cancel context.CancelFunc) { cancel() }),
	Entry("by both", func(t *Transport, cancel context.CancelFunc) { cancel(); t.Close() }),
)
