package keys

import (
	"context"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const year = 365 * 24 * time.Hour

var loopback = net.IPv4(127, 0, 0, 1)

func newCA(name string) Pair {
	ca, err := NewCA(name, time.Now(), year)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return ca
}

func newHost(ca Pair, host string, validity time.Duration) Pair {
	pair, err := NewHost(ca, host, []net.IP{loopback}, time.Now(), validity)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return pair
}

type testFiles struct{ Files }

func newFiles() testFiles {
	directory := GinkgoT().TempDir()
	return testFiles{Files{
		CA:          filepath.Join(directory, "ca.pem"),
		Certificate: filepath.Join(directory, "host.pem"),
		Key:         filepath.Join(directory, "host.key"),
	}}
}

func (f testFiles) write(ca []byte, pair Pair) testFiles {
	Expect(os.WriteFile(f.CA, ca, 0o600)).To(Succeed())
	Expect(os.WriteFile(f.Certificate, pair.Certificate, 0o600)).To(Succeed())
	Expect(os.WriteFile(f.Key, pair.Key, 0o600)).To(Succeed())
	return f
}

func certificatesOf(pair Pair) []*x509.Certificate {
	certificates, err := parseCertificates("test", pair.Certificate)
	Expect(err).NotTo(HaveOccurred())
	return certificates
}

var _ = Describe("The key of a host", func() {
	ca := newCA("one")

	// Guards against a private key that other users of the machine can read, and
	// against overwriting a CA.
	It("is written to new files, the private key readable by its owner only", func() {
		directory := GinkgoT().TempDir()
		Expect(WriteCA(directory, ca)).To(Succeed())
		Expect(WriteHost(directory, "entry-1", newHost(ca, "entry-1", year))).To(Succeed())
		for _, file := range []string{"ca.key", "entry-1.key"} {
			info, err := os.Stat(filepath.Join(directory, file))
			Expect(err).NotTo(HaveOccurred())
			Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
		}
		Expect(WriteCA(directory, newCA("two"))).To(MatchError(os.ErrExist))
		Expect(ReadCA(directory)).To(Equal(ca))
	})

	// Guards against a host that starts with files with which no peer accepts it.
	It("is rejected when the files do not match", func() {
		other := newCA("two")
		one, two := newHost(ca, "entry-1", year), newHost(ca, "entry-2", year)
		files := newFiles()
		Expect(Load(files.write(ca.Certificate, Pair{Certificate: one.Certificate, Key: two.Key}).Files)).Error().To(MatchError(errKeyMismatch))
		Expect(Load(files.write(other.Certificate, one).Files)).Error().To(MatchError(ContainSubstring("not signed by a trusted CA")))
		Expect(Load(files.write(one.Certificate, one).Files)).Error().To(MatchError(ContainSubstring("is not a CA")))
		Expect(Load(files.write([]byte("x"), one).Files)).Error().To(MatchError(ContainSubstring("no certificate")))
		Expect(Load(files.write(ca.Certificate, one).Files)).Error().NotTo(HaveOccurred())
	})

	// Guards against accepting peers whose certificate does not prove their name
	// and address.
	It("authenticates the name and the address of its host", func() {
		one := newHost(ca, "entry-1", year)
		bundle, err := Load(newFiles().write(ca.Certificate, one).Files)
		Expect(err).NotTo(HaveOccurred())
		now := time.Now()
		Expect(bundle.VerifyPeer(certificatesOf(one), loopback, now)).To(Equal("entry-1"))
		Expect(bundle.VerifyPeer(certificatesOf(one), nil, now)).To(Equal("entry-1"))

		Expect(bundle.VerifyPeer(certificatesOf(one), net.IPv4(127, 0, 0, 2), now)).Error().To(MatchError(ContainSubstring("not valid for the dialed address")))
		Expect(bundle.VerifyPeer(nil, nil, now)).Error().To(MatchError(ContainSubstring("no certificate")))
		Expect(bundle.VerifyPeer(certificatesOf(one), nil, now.Add(2*year))).Error().To(MatchError(ContainSubstring("expired")))
		Expect(bundle.VerifyPeer(certificatesOf(newHost(newCA("two"), "entry-1", year)), nil, now)).Error().To(MatchError(ContainSubstring("unknown authority")))
		Expect(bundle.VerifyPeer(certificatesOf(ca), nil, now)).Error().To(HaveOccurred())
	})
})

var _ = Describe("Store", func() {
	var (
		ca      = newCA("one")
		logs    *memory.Handler
		files   testFiles
		clock   time.Time
		changes int
		store   *Store
	)

	BeforeEach(func() {
		logs = memory.New()
		files = newFiles().write(ca.Certificate, newHost(ca, "entry-1", year/2))
		var err error
		store, err = Open(files.Files, &log.Logger{Handler: logs})
		Expect(err).NotTo(HaveOccurred())
		clock = time.Now()
		store.now = func() time.Time { return clock }
		changes = 0
		store.OnChange(func() { changes++ })
	})

	messages := func() []string {
		var found []string
		for _, entry := range logs.Entries {
			found = append(found, entry.Message)
		}
		return found
	}

	// Guards against a rotation that needs a restart, and against files read in
	// the middle of a rotation that disconnect the host from its peers.
	It("loads changed files and keeps the active key when they do not match", func() {
		before := store.Current()
		next := newCA("two")
		renewed := newHost(next, "entry-1", year)
		Expect(os.WriteFile(files.Certificate, renewed.Certificate, 0o600)).To(Succeed())
		store.reload()
		store.reload()
		Expect(store.Current()).To(BeIdenticalTo(before))
		Expect(store.RefusedReloads()).To(Equal(int64(2)))
		Expect(messages()).To(Equal([]string{"changed key refused, keeping the active key"}))

		files.write(append(append([]byte{}, ca.Certificate...), next.Certificate...), renewed)
		store.reload()
		store.reload()
		Expect(changes).To(Equal(1))
		for _, issuer := range []Pair{ca, next} {
			Expect(store.Current().VerifyPeer(certificatesOf(newHost(issuer, "entry-2", year)), nil, clock)).To(Equal("entry-2"))
		}
	})

	// Guards against files that change the name of the host or replace a valid key
	// with an expired one.
	It("refuses the key of another host and an expired one", func() {
		before := store.Current()
		files.write(ca.Certificate, newHost(ca, "entry-2", year))
		store.reload()
		files.write(ca.Certificate, newHost(ca, "entry-1", -time.Minute))
		store.reload()
		Expect(store.Current()).To(BeIdenticalTo(before))
		Expect(store.RefusedReloads()).To(Equal(int64(2)))
		Expect(changes).To(BeZero())
	})

	// Guards against a key that expires without a warning, and against a log message
	// at every poll.
	It("logs once a day before the expiry and once an hour after it", func() {
		clock = store.Current().NotAfter.Add(-expiryWarningPeriod + time.Minute)
		store.checkExpiry()
		store.checkExpiry()
		clock = clock.Add(expiryWarningInterval)
		store.checkExpiry()
		Expect(messages()).To(Equal([]string{"key expires soon", "key expires soon"}))

		clock = store.Current().NotAfter.Add(time.Minute)
		store.checkExpiry()
		store.checkExpiry()
		Expect(messages()[2:]).To(Equal([]string{"key is not valid, peers refuse this host"}))
		Expect(store.Remaining()).To(BeNumerically("<", 0))
	})

	// Guards against a request to reload, such as SIGHUP, that has no effect until
	// the next poll.
	It("reloads on request", func() {
		reloadNow := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			store.Watch(ctx, time.Hour, reloadNow)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		before := store.Current()
		files.write(ca.Certificate, newHost(ca, "entry-1", year))
		reloadNow <- struct{}{}
		Eventually(store.Current).WithTimeout(10 * time.Second).ShouldNot(BeIdenticalTo(before))
	})
})
