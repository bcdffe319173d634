package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/standin"
)

const waitTimeout = 10 * time.Second

// Guards against tests that pass only because the stand-in does not simulate the
// fault that they configure.
var _ = Describe("Backend", func() {
	var backend *standin.Backend
	var baseURL string

	BeforeEach(func() {
		backend = standin.NewBackend("press-1", 1, 0)
		server := httptest.NewServer(backend)
		DeferCleanup(server.Close)
		baseURL = server.URL
	})

	DescribeTable("simulates the configured fault",
		func(change func(*standin.Behaviour), status int, header string) {
			backend.UpdateBehaviour(change)
			response, err := http.Get(baseURL + "/a")
			if status == 0 {
				if err == nil {
					_, err = io.ReadAll(response.Body)
				}
				Expect(err).To(HaveOccurred())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			response.Body.Close()
			Expect(response.StatusCode).To(Equal(status))
			Expect(response.Header).To(HaveKey(header))
		},
		Entry("none", func(*standin.Behaviour) {}, 200, "Wisteriapond-Load"),
		Entry("shedding", func(b *standin.Behaviour) { b.Shedding = true }, standin.NotRunStatus, standin.NotRunHeader),
		Entry("draining", func(b *standin.Behaviour) { b.Draining = true }, standin.NotRunStatus, "Wisteriapond-Draining"),
		Entry("failing fast", func(b *standin.Behaviour) { b.FailFast = true }, 500, "Wisteriapond-Load"),
		Entry("truncating", func(b *standin.Behaviour) { b.Truncate = true }, 0, ""),
		Entry("closing after reading the request", func(b *standin.Behaviour) { b.ReadAndClose = true }, 0, ""),
	)

	It("rejects requests beyond its slots and does not count them as runs", func() {
		backend.UpdateBehaviour(func(b *standin.Behaviour) { b.ExtraDelay = time.Hour })
		ctx := GinkgoT().Context()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL, nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("X-Request", "1")
		go http.DefaultClient.Do(request)
		Eventually(func() int { return backend.Runs("1") }).WithTimeout(waitTimeout).Should(Equal(1))
		second := request.Clone(ctx)
		second.Header.Set("X-Request", "2")
		response, err := http.DefaultClient.Do(second)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.Header.Get(standin.NotRunHeader)).To(Equal(standin.NotRunValue))
		Expect(backend.Runs("2")).To(Equal(0))
		Expect(backend.Peak()).To(Equal(1))
	})

	It("stops working when the client disconnects", func() {
		backend.UpdateBehaviour(func(b *standin.Behaviour) { b.ExtraDelay = time.Hour })
		client := &http.Client{Timeout: 50 * time.Millisecond}
		Expect(client.Get(baseURL)).Error().To(HaveOccurred())
		Eventually(backend.Running).WithTimeout(waitTimeout).Should(Equal(0))
	})

	// Guards against a stand-in that hides late responses by sending status 200
	// after the timeout.
	It("does not respond after the timeout of the request", func() {
		backend.UpdateBehaviour(func(b *standin.Behaviour) { b.WarmUp, b.WarmUpDelay = time.Hour, time.Hour })
		backend.Restart()
		request, err := http.NewRequest(http.MethodGet, baseURL, nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Wisteriapond-Timeout", "20")
		Expect(http.DefaultClient.Do(request)).Error().To(HaveOccurred())
	})

	It("reports a load of 0 with MisleadingLoad", func() {
		backend.UpdateBehaviour(func(b *standin.Behaviour) { b.MisleadingLoad = true })
		response, err := http.Get(baseURL + "/a")
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.Header.Get("Wisteriapond-Load")).To(Equal("0"))
	})
})

var _ = Describe("Platform", func() {
	var platform *standin.Platform
	var baseURL string

	BeforeEach(func() {
		platform = standin.NewPlatform()
		server := httptest.NewServer(platform)
		DeferCleanup(server.Close)
		baseURL = server.URL
		platform.Publish("manifest", []byte("old"))
	})

	It("serves the old value while it is stale", func() {
		platform.SetStale(true)
		platform.Publish("manifest", []byte("new"))
		Expect(getBody(baseURL + "/v1/values/manifest")).To(Equal("old"))
		platform.SetStale(false)
		Expect(getBody(baseURL + "/v1/values/manifest")).To(Equal("new"))
	})

	It("rejects calls while it is down", func() {
		platform.SetDown(true)
		Expect(getBody(baseURL + "/v1/values/manifest")).To(Equal("down\n"))
	})

	It("serves an earlier host list while the list lags", func() {
		platform.SetHosts([]standin.HostEntry{{Host: "press-1", State: "live"}})
		Expect(getBody(baseURL + "/v1/hosts")).To(ContainSubstring(`"live"`))
		platform.SetHostLag(time.Hour)
		Expect(platform.SetHostState("press-1", "leaving")).To(BeTrue())
		Expect(getBody(baseURL + "/v1/hosts")).To(ContainSubstring(`"live"`))
		platform.SetHostLag(0)
		Expect(getBody(baseURL + "/v1/hosts")).To(ContainSubstring(`"leaving"`))
	})
})

// Guards against an invalid part that is published again in later generations,
// which entry hosts would then reject as well.
var _ = It("Deployment publishes an invalid part only once", func() {
	platform := standin.NewPlatform()
	deployment := standin.NewDeployment(platform)
	_, err := deployment.Publish(standin.Part{
		Service: "orders", Match: []standin.MatchRule{{PathPrefix: "/"}}, NotRun: standin.DefaultNotRunForm(),
		Upstreams: []standin.Upstream{{
			Name: "a", Host: "a", Address: "127.0.0.1:1", Region: "mtl", FailureDomain: "mtl-a", Slots: 3, Connections: 220,
		}},
	})
	Expect(err).NotTo(HaveOccurred())
	deployment.PublishRaw(map[string][]byte{"orders": []byte("{")})
	Expect(string(platform.Value("services/orders"))).To(Equal("{"))
	services, err := deployment.RemoveHost("a")
	Expect(err).NotTo(HaveOccurred())
	Expect(services).To(Equal([]string{"orders"}))
	Expect(string(platform.Value("services/orders"))).To(ContainSubstring(`"upstreams": []`))
	Expect(deployment.Generation()).To(Equal(uint64(3)))
})

func getBody(url string) string {
	response, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}
