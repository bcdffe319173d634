package configservice_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/configservice"
	"wisteriapond/document"
	"wisteriapond/standin"
)

// Guards against a host that misses a change, takes an error for a value, or
// reads a value without a bound.
var _ = Describe("Client", func() {
	var standIn *standin.Platform
	var client *configservice.Client

	BeforeEach(func() {
		standIn = standin.NewPlatform()
		server := httptest.NewServer(standIn)
		DeferCleanup(server.Close)
		client = configservice.NewClient(server.URL)
	})

	It("wakes a watch when the value changes", func() {
		standIn.Publish("manifest", []byte("old"))
		value, err := client.Read(context.Background(), "manifest")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(value.Raw)).To(Equal("old"))
		changed := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			value, err := client.Watch(context.Background(), "manifest", value.ETag)
			Expect(err).NotTo(HaveOccurred())
			changed <- string(value.Raw)
		}()
		Eventually(standIn.Calls).WithTimeout(10 * time.Second).Should(Equal(2))
		// A change of another value wakes the stand-in, which must not answer yet.
		standIn.Publish("other", []byte("x"))
		standIn.Publish("manifest", []byte("new"))
		Eventually(changed).WithTimeout(10 * time.Second).Should(Receive(Equal("new")))
	})

	It("reports an absent value, a service that is down, and a value that is too large", func() {
		Expect(client.Read(context.Background(), "manifest")).Error().To(MatchError("platform call for manifest: status 404"))
		standIn.Publish("manifest", bytes.Repeat([]byte{'x'}, document.MaxBytes+1))
		Expect(client.Read(context.Background(), "manifest")).Error().To(MatchError(ContainSubstring("larger than 1048576 bytes")))
		standIn.SetDown(true)
		Expect(client.Hosts(context.Background(), "")).Error().To(MatchError("platform call for hosts: status 503"))
	})

	It("reads the list of hosts only when it changed", func() {
		first, err := client.Hosts(context.Background(), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Hosts(context.Background(), first.ETag)).Error().To(MatchError(configservice.ErrUnchanged))
		standIn.SetHosts([]standin.HostEntry{{Host: "backend-1", Role: "backend", State: "live"}})
		Expect(client.Hosts(context.Background(), first.ETag)).To(HaveField("Raw", ContainSubstring("backend-1")))
	})

	It("ends a call with its context", func() {
		standIn.SetDelay(time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() {
			_, err := client.Hosts(ctx, "")
			failed <- err
		}()
		Eventually(standIn.Calls).WithTimeout(10 * time.Second).Should(Equal(1))
		cancel()
		Eventually(failed).WithTimeout(10 * time.Second).Should(Receive(MatchError(context.Canceled)))
	})
})
