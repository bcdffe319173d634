package configservice_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/configservice"
	"wisteriapond/document"
	"wisteriapond/standin"
)

// Guards against a host that misses a change, uses an error response as a value, or
// reads a value of unbounded size.
var _ = Describe("Client", func() {
	var platform *standin.Platform
	var client *configservice.Client

	BeforeEach(func() {
		platform = standin.NewPlatform()
		server := httptest.NewServer(platform)
		DeferCleanup(server.Close)
		client = configservice.NewClient(server.URL)
	})

	It("returns from a watch when the value changes", func() {
		platform.Publish("manifest", []byte("old"))
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
		Eventually(platform.Calls).WithTimeout(10 * time.Second).Should(Equal(2))
		// The stand-in checks its pending watches after a change of any value. This one
		// must remain pending when another value changes.
		platform.Publish("other", []byte("x"))
		platform.Publish("manifest", []byte("new"))
		Eventually(changed).WithTimeout(10 * time.Second).Should(Receive(Equal("new")))
	})

	// Guards against a change that takes effect half a minute after an outage in which
	// the service swallowed the watch.
	It("notices within seconds that a watch was swallowed", func() {
		swallowing := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		DeferCleanup(swallowing.Close)
		const bound = 5 * time.Second
		started := time.Now()
		Expect(configservice.NewClient(swallowing.URL).Watch(context.Background(), "manifest", "etag")).Error().To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", bound))
	})

	It("returns errors for a missing value, a service that is down, and a value that is too large", func() {
		Expect(client.Read(context.Background(), "manifest")).Error().To(MatchError("platform call for manifest: status 404"))
		platform.Publish("manifest", bytes.Repeat([]byte{'x'}, document.MaxBytes+1))
		Expect(client.Read(context.Background(), "manifest")).Error().To(MatchError(ContainSubstring("larger than 1048576 bytes")))
		platform.SetDown(true)
		Expect(client.Hosts(context.Background(), "")).Error().To(MatchError("platform call for hosts: status 503"))
	})

	It("returns the host list only if it has changed", func() {
		first, err := client.Hosts(context.Background(), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Hosts(context.Background(), first.ETag)).Error().To(MatchError(configservice.ErrUnchanged))
		platform.SetHosts([]standin.HostEntry{{Host: "backend-1", Role: "backend", State: "live"}})
		Expect(client.Hosts(context.Background(), first.ETag)).To(HaveField("Raw", ContainSubstring("backend-1")))
	})

	It("aborts a call when its context is canceled", func() {
		platform.SetDelay(time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() {
			_, err := client.Hosts(ctx, "")
			failed <- err
		}()
		Eventually(platform.Calls).WithTimeout(10 * time.Second).Should(Equal(1))
		cancel()
		Eventually(failed).WithTimeout(10 * time.Second).Should(Receive(MatchError(context.Canceled)))
	})
})
