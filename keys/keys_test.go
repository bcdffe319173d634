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

type keyFiles struct{ Files }

func newFiles() keyFiles {
	directory := GinkgoT().TempDir()
	return keyFiles{Files{
		CA:          filepath.Join(directory, "ca.pem"),
		Certificate: filepath.Join(directory, "host.pem"),
		Key:         filepath.Join(directory, "host.key"),
	}}
}

func (f keyFiles) write(ca []byte, pair Pair) keyFiles {
	Expect(os.WriteFile(f.CA, ca, 0o600)).To(Succeed())
	Expect(os.WriteFile(f.Certificate, pair.Certificate, 0o600)).To(Succeed())
	Expect(os.WriteFile(f.Key, pair.Key, 0o600)).To(Succeed())
	return f
}

func leafOf(pair Pair) []*x509.Certificate {
	certificates, err := parseCertificates("test", pair.Certificate)
	Expect(err).NotTo(HaveOccurred())
	return certificates
}

var _ = Describe("a host's key", func() {
	ca := newCA("one")

	// Guards against a private key that other users of the machine can read,
	// and against an overwritten CA.
	It("is written once, the private part for its owner alone", func() {
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

	// Guards against a host that starts with files by which no peer knows it.
	It("is refused when the files do not fit together", func() {
		other := newCA("two")
		one, two := newHost(ca, "entry-1", year), newHost(ca, "entry-2", year)
		files := newFiles()
		Expect(Load(files.write(ca.Certificate, Pair{Certificate: one.Certificate, Key: two.Key}).Files)).Error().To(MatchError(errMismatch))
		Expect(Load(files.write(other.Certificate, one).Files)).Error().To(MatchError(ContainSubstring("not signed by a trusted CA")))
		Expect(Load(files.write(one.Certificate, one).Files)).Error().To(MatchError(ContainSubstring("is not a CA")))
		Expect(Load(files.write([]byte("x"), one).Files)).Error().To(MatchError(ContainSubstring("no certificate")))
		Expect(Load(files.write(ca.Certificate, one).Files)).Error().NotTo(HaveOccurred())
	})

	// Guards against peers that are believed without proof of their name and
	// address.
	It("proves the name and the address of its host", func() {
		one := newHost(ca, "entry-1", year)
		bundle, err := Load(newFiles().write(ca.Certificate, one).Files)
		Expect(err).NotTo(HaveOccurred())
		now := time.Now()
		Expect(bundle.VerifyPeer(leafOf(one), loopback, now)).To(Equal("entry-1"))
		Expect(bundle.VerifyPeer(leafOf(one), nil, now)).To(Equal("entry-1"))

		Expect(bundle.VerifyPeer(leafOf(one), net.IPv4(127, 0, 0, 2), now)).Error().To(MatchError(ContainSubstring("does not hold for this address")))
		Expect(bundle.VerifyPeer(nil, nil, now)).Error().To(MatchError(ContainSubstring("no certificate")))
		Expect(bundle.VerifyPeer(leafOf(one), nil, now.Add(2*year))).Error().To(MatchError(ContainSubstring("expired")))
		Expect(bundle.VerifyPeer(leafOf(newHost(newCA("two"), "entry-1", year)), nil, now)).Error().To(MatchError(ContainSubstring("unknown authority")))
		Expect(bundle.VerifyPeer(leafOf(ca), nil, now)).Error().To(HaveOccurred())
	})
})

var _ = Describe("Store", func() {
	var (
		ca      = newCA("one")
		logs    *memory.Handler
		files   keyFiles
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

	// Guards against a rotation that needs a restart, and against a rotation
	// seen halfway that takes the host off its peers.
	It("takes over changed files and keeps the key when they do not fit", func() {
		before := store.Current()
		next := newCA("two")
		renewed := newHost(next, "entry-1", year)
		Expect(os.WriteFile(files.Certificate, renewed.Certificate, 0o600)).To(Succeed())
		store.reload()
		store.reload()
		Expect(store.Current()).To(BeIdenticalTo(before))
		Expect(store.RefusedReloads()).To(Equal(int64(2)))
		Expect(messages()).To(Equal([]string{"changed key refused, the key in force stays"}))

		files.write(append(append([]byte{}, ca.Certificate...), next.Certificate...), renewed)
		store.reload()
		store.reload()
		Expect(changes).To(Equal(1))
		for _, issuer := range []Pair{ca, next} {
			Expect(store.Current().VerifyPeer(leafOf(newHost(issuer, "entry-2", year)), nil, clock)).To(Equal("entry-2"))
		}
	})

	// Guards against a wrong file that turns the host into another one or
	// replaces a valid key by an expired one.
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

	// Guards against a key that runs out unnoticed and against a log that
	// repeats it at every poll.
	It("warns once a day before the expiry and once an hour after it", func() {
		clock = store.Current().NotAfter.Add(-warnBefore + time.Minute)
		store.checkExpiry()
		store.checkExpiry()
		clock = clock.Add(warnEvery)
		store.checkExpiry()
		Expect(messages()).To(Equal([]string{"key expires soon", "key expires soon"}))

		clock = store.Current().NotAfter.Add(time.Minute)
		store.checkExpiry()
		store.checkExpiry()
		Expect(messages()[2:]).To(Equal([]string{"key is not valid, peers refuse this host"}))
		Expect(store.Remaining()).To(BeNumerically("<", 0))
	})

	// Guards against a hangup signal that has no effect until the next poll.
	It("reloads at a hangup", func() {
		hangup := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			store.Watch(ctx, time.Hour, hangup)
		}()
		DeferCleanup(func() {
			cancel()
			<-ended
		})
		before := store.Current()
		files.write(ca.Certificate, newHost(ca, "entry-1", year))
		hangup <- struct{}{}
		Eventually(store.Current).WithTimeout(10 * time.Second).ShouldNot(BeIdenticalTo(before))
	})
})
