package entryhost_test

import (
	"bytes"
	"context"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
	"wisteriapond/document"
	"wisteriapond/entryhost"
	"wisteriapond/eventlog"
	"wisteriapond/keys"
	"wisteriapond/settings"
	"wisteriapond/standin"
)

const waitTimeout = 60 * time.Second

// deployment is a simulated deployment: a platform, a backend server and the CA
// of the entry hosts.
type deployment struct {
	platform *standin.Platform
	url      string
	backend  string
	ca       keys.Pair
}

func newDeployment(slots int) *deployment {
	backend := httptest.NewServer(standin.NewBackend("backend-1", slots, 0))
	DeferCleanup(backend.Close)
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform)
	DeferCleanup(server.Close)
	ca, err := keys.NewCA("deployment", time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	d := &deployment{platform: platform, url: server.URL, backend: backend.Listener.Addr().String(), ca: ca}
	d.publish(1)
	return d
}

func (d *deployment) publish(generation uint64) {
	d.platform.PublishConfiguration(generation, map[string][]byte{"catalogue": partDocument(d.backend)}, nil)
}

// settings creates the key of a host and returns the settings of the host.
func (d *deployment) settings(name, listen string, peers ...string) *settings.Settings {
	directory := GinkgoT().TempDir()
	pair, err := keys.NewHost(d.ca, name, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), time.Hour)
	Expect(err).NotTo(HaveOccurred())
	Expect(keys.WriteHost(directory, name, pair)).To(Succeed())
	ca := filepath.Join(directory, keys.CACertificateFile)
	Expect(os.WriteFile(ca, d.ca.Certificate, 0o600)).To(Succeed())
	s := d.standaloneSettings(name)
	s.PeerListen, s.Peers = listen, peers
	s.Keys = settings.Keys{CA: ca, Certificate: filepath.Join(directory, name+".pem"), Key: filepath.Join(directory, name+".key")}
	return s
}

// standaloneSettings returns the settings of a host without peers.
func (d *deployment) standaloneSettings(name string) *settings.Settings {
	return &settings.Settings{
		Host: name, Region: "mtl", FailureDomain: "mtl-a", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Platform: d.url,
	}
}

// run runs a host and returns a function that ends it. The host must end within
// the limit.
func run(host *entryhost.Host, limit time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		Eventually(ended).WithTimeout(limit).Should(Receive(BeNil()))
	})
	DeferCleanup(stop)
	return stop
}

func newHost(s *settings.Settings) *entryhost.Host {
	host, err := entryhost.New(s, &log.Logger{Handler: discard.New()})
	Expect(err).NotTo(HaveOccurred())
	return host
}

func generationOf(host *entryhost.Host) func() uint64 {
	return func() uint64 {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		status, err := host.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		return status.Version.Generation
	}
}

var _ = Describe("entry hosts with peers", func() {
	// Guards against a host that cannot start or restart without the
	// configuration service although a peer has the complete configuration.
	It("distribute the configuration while the configuration service is down", func() {
		d := newDeployment(3)
		one := newHost(d.settings("entry-1", "127.0.0.1:0"))
		stopOne := run(one, waitTimeout)
		Eventually(one.Ready).WithTimeout(waitTimeout).Should(BeTrue())

		d.platform.SetDown(true)
		two := newHost(d.settings("entry-2", "127.0.0.1:0", one.PeerAddress()))
		run(two, waitTimeout)
		Eventually(two.Ready).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(generationOf(two)()).To(Equal(uint64(1)))
		body, _ := get("http://" + two.Address() + "/catalogue/urn-7")
		Expect(string(body)).To(Equal("backend-1 GET /catalogue/urn-7 0 bytes\n"))

		address := one.PeerAddress()
		stopOne()
		restarted := newHost(d.settings("entry-1", address, two.PeerAddress()))
		run(restarted, waitTimeout)
		Eventually(restarted.Ready).WithTimeout(waitTimeout).Should(BeTrue())
		Expect(generationOf(restarted)()).To(Equal(uint64(1)))

		d.publish(2)
		d.platform.SetDown(false)
		Eventually(generationOf(restarted)).WithTimeout(waitTimeout).Should(Equal(uint64(2)))
		Eventually(generationOf(two)).WithTimeout(waitTimeout).Should(Equal(uint64(2)))
	})

	// Guards against a host that starts with a name other than the one in its
	// certificate.
	It("reject the key of another host", func() {
		d := newDeployment(3)
		s := d.settings("entry-1", "127.0.0.1:0")
		s.Host = "entry-2"
		Expect(entryhost.New(s, &log.Logger{Handler: discard.New()})).Error().To(MatchError(ContainSubstring("the certificate is for host entry-1")))
	})
})

var _ = Describe("a recorded run", func() {
	// Guards against decisions that depend on anything other than the events, and
	// against events that are changed by writing and reading the event log.
	It("has the same effects when it is replayed", func() {
		d := newDeployment(3)
		file := filepath.Join(GinkgoT().TempDir(), "events")
		one := newHost(d.settings("entry-1", "127.0.0.1:0"))
		run(one, waitTimeout)
		s := d.settings("entry-2", "127.0.0.1:0", one.PeerAddress())
		s.Record = settings.Recording{File: file, MaxSize: document.Size(settings.DefaultMaxRecordingBytes)}
		two := newHost(s)
		var live bytes.Buffer
		two.OnStep(func(at core.Instant, event core.Event, effects []core.Effect) {
			defer GinkgoRecover()
			Expect(eventlog.WriteStep(&live, at, event, effects)).To(Succeed())
		})
		stop := run(two, waitTimeout)
		Eventually(two.Ready).WithTimeout(waitTimeout).Should(BeTrue())
		for range 20 {
			get("http://" + two.Address() + "/catalogue/urn-7")
		}
		get("http://" + two.Address() + "/files/proof")
		d.publish(2)
		Eventually(generationOf(two)).WithTimeout(waitTimeout).Should(Equal(uint64(2)))
		stop()

		raw, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		var first, second bytes.Buffer
		Expect(eventlog.Replay(bytes.NewReader(raw), &first)).To(Succeed())
		Expect(eventlog.Replay(bytes.NewReader(raw), &second)).To(Succeed())
		Expect(bytes.Equal(first.Bytes(), second.Bytes())).To(BeTrue())
		Expect(first.String()).To(ContainSubstring(`"type":"StartAttempt"`))
		Expect(first.String()).To(ContainSubstring(`"type":"SendPeer"`))
		Expect(firstDifference(first.Bytes(), live.Bytes())).To(BeEmpty())
		Expect(first.Len()).To(Equal(live.Len()))
	})
})

// firstDifference returns the first line of a replay that differs from the
// recorded run.
func firstDifference(replayed, live []byte) string {
	liveLines := bytes.Split(live, []byte("\n"))
	for i, line := range bytes.Split(bytes.TrimSpace(replayed), []byte("\n")) {
		if i >= len(liveLines) || !bytes.Equal(line, liveLines[i]) {
			return string(line)
		}
	}
	return ""
}
