package load_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/load"
)

func planFor(url string) load.Plan {
	return load.Plan{
		Targets:  []load.Target{{Label: "a", URL: url}},
		Method:   http.MethodGet,
		Rate:     1000,
		Requests: 10,
		Duration: time.Minute,
		InFlight: 16,
		Timeout:  time.Minute,
	}
}

// Guards against sending load to remote hosts by mistake, and against unbounded
// runs.
var _ = DescribeTable("Plan.Validate rejects",
	func(change func(*load.Plan), part string) {
		plan := planFor("http://127.0.0.1:1/")
		Expect(plan.Validate()).To(Succeed())
		change(&plan)
		Expect(plan.Validate()).To(MatchError(ContainSubstring(part)))
	},
	Entry("a plan without targets", func(p *load.Plan) { p.Targets = nil }, "targets"),
	Entry("a remote address", func(p *load.Plan) { p.Targets[0].URL = "http://192.0.2.1/" }, "not on loopback"),
	Entry("a host name", func(p *load.Plan) { p.Targets[0].URL = "http://example.net/" }, "not on loopback"),
	Entry("a scheme other than http", func(p *load.Plan) { p.Targets[0].URL = "ftp://127.0.0.1/" }, "must be a URL"),
	Entry("a zero rate", func(p *load.Plan) { p.Rate = 0 }, "rate"),
	Entry("too many requests", func(p *load.Plan) { p.Requests = load.MaxRequests + 1 }, "requests"),
	Entry("a duration above the maximum", func(p *load.Plan) { p.Duration = load.MaxDuration + 1 }, "duration"),
	Entry("a zero timeout", func(p *load.Plan) { p.Timeout = 0 }, "timeout"),
	Entry("too many concurrent requests", func(p *load.Plan) { p.InFlight = load.MaxInFlight + 1 }, "in-flight"),
)

var _ = It("permits remote targets with AllowRemote", func() {
	plan := planFor("http://192.0.2.1/")
	plan.AllowRemote = true
	Expect(plan.Validate()).To(Succeed())
})

// Guards against results that mix labels, or that count responses of the load
// balancer itself as responses of a backend server.
var _ = It("counts outcomes and upstreams by label", func() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/not-run", "/unknown":
			w.Header().Set("Wisteriapond-Outcome", r.URL.Path[1:])
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/broken":
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set("Wisteriapond-Upstream", "press-1")
		}
	}))
	DeferCleanup(server.Close)
	plan := planFor("")
	plan.Targets = nil
	for _, label := range []string{"answered", "broken", "not-run", "unknown"} {
		plan.Targets = append(plan.Targets, load.Target{Label: label, URL: server.URL + "/" + label})
	}
	plan.Requests = 8
	results, err := load.Run(context.Background(), plan)
	Expect(err).NotTo(HaveOccurred())
	want := []string{load.Responded, load.Failed, load.NotRun, load.Unknown}
	for i, summary := range results.Summaries() {
		Expect(summary.Requests).To(Equal(2), summary.Label)
		Expect(summary.Outcomes).To(Equal(map[string]int{want[i]: 2}), summary.Label)
	}
	Expect(results.Summaries()[0].Upstreams).To(Equal(map[string]int{"press-1": 2}))
	var text bytes.Buffer
	Expect(results.WriteText(&text)).To(Succeed())
	Expect(text.String()).To(And(MatchRegexp(`not-run +2 +0 +2 +0 +0 +0`), ContainSubstring("p99.9")))
})

// Guards against a closed loop, which slows down with the server and hides its
// delay: requests due beyond the in-flight bound must be reported as dropped.
var _ = It("drops requests that are due while the in-flight bound is reached", func() {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}))
	DeferCleanup(server.Close)
	plan := planFor(server.URL)
	plan.InFlight, plan.Requests, plan.Timeout = 2, 50, 2*time.Second
	results, err := load.Run(context.Background(), plan)
	Expect(err).NotTo(HaveOccurred())
	summary := results.Summaries()[0]
	Expect(summary.Dropped).To(BeNumerically(">", 0))
	Expect(summary.Requests + summary.Dropped).To(Equal(50))
	Expect(summary.Outcomes).To(Equal(map[string]int{load.Failed: summary.Requests}))
})

// Guards against a target that redirects the load to another host.
var _ = It("does not follow redirects", func() {
	server := httptest.NewServer(http.RedirectHandler("http://192.0.2.1/", http.StatusFound))
	DeferCleanup(server.Close)
	results, err := load.Run(context.Background(), planFor(server.URL))
	Expect(err).NotTo(HaveOccurred())
	Expect(results.Summaries()[0].Outcomes).To(Equal(map[string]int{load.Responded: 10}))
})
