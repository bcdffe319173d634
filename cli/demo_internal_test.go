package cli

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
)

const demoWaitTimeout = 20 * time.Second

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (r *syncBuffer) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buffer.Write(p)
}

func (r *syncBuffer) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buffer.String()
}

// Guards against a demo that does not behave as the README describes.
var _ = Describe("the demo", Ordered, func() {
	var d *demo
	logs := &syncBuffer{}

	BeforeAll(func() {
		var err error
		d, err = startDemo(context.Background(), 0, logs)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { Expect(d.stop()).To(Succeed()) })
		Expect(d.awaitReady()).To(Succeed())
	})

	get := func(path string, headers ...string) *http.Response {
		request, err := http.NewRequest(http.MethodGet, "http://"+d.hosts[0].Address()+path, nil)
		Expect(err).NotTo(HaveOccurred())
		for i := 0; i+1 < len(headers); i += 2 {
			request.Header.Set(headers[i], headers[i+1])
		}
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.Copy(io.Discard, response.Body)).Error().NotTo(HaveOccurred())
		response.Body.Close()
		return response
	}
	control := func(path string) {
		response, err := http.Post(d.url+"/control/"+path, "", nil)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK), path)
	}
	// respondingUpstreams returns the upstreams that respond to 20 lookups.
	respondingUpstreams := func(headers ...string) []string {
		seen := make(map[string]bool)
		for range 20 {
			seen[get("/catalogue/urn-7", headers...).Header.Get("Wisteriapond-Upstream")] = true
		}
		var names []string
		for name := range seen {
			names = append(names, name)
		}
		return names
	}

	// eligible returns the upstreams that are eligible for a lookup at present.
	eligible := func() []string {
		request := config.Request{Method: http.MethodGet, Path: "/catalogue/urn-7"}
		explanation, err := d.hosts[0].Explain(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		var names []string
		for _, u := range explanation.Upstreams {
			if u.Eligible {
				names = append(names, u.Name)
			}
		}
		return names
	}

	It("has entry hosts that discover each other", func() {
		for _, host := range d.hosts {
			Eventually(func() int {
				status, err := host.Status(context.Background())
				Expect(err).NotTo(HaveOccurred())
				return len(status.Members)
			}).WithTimeout(demoWaitTimeout).Should(Equal(len(d.hosts) - 1))
		}
	})

	It("routes by labels", func() {
		Expect(get("/catalogue/urn-7").StatusCode).To(Equal(http.StatusOK))
		for _, name := range respondingUpstreams("X-Team", "night") {
			Expect(name).To(HaveSuffix("-2"))
		}
		response, err := http.Post("http://"+d.hosts[0].Address()+"/orders/", "text/plain", strings.NewReader("urn 7"))
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.Header.Get("Wisteriapond-Upstream")).To(HaveSuffix("-1"))
	})

	It("sends no requests to a leaving host until it is live again", func() {
		control("hosts/catalogue-mtl-1/leaving")
		control("hosts/catalogue-mtl-2/leaving")
		Eventually(eligible).WithTimeout(demoWaitTimeout).Should(ConsistOf("catalogue-qc-1", "catalogue-qc-2"))
		Expect(respondingUpstreams()).To(HaveEach(HavePrefix("catalogue-qc-")))
		control("hosts/catalogue-mtl-1/live")
		control("hosts/catalogue-qc-1/leaving")
		control("hosts/catalogue-qc-2/leaving")
		Eventually(eligible).WithTimeout(demoWaitTimeout).Should(ConsistOf("catalogue-mtl-1"))
		Expect(respondingUpstreams()).To(ConsistOf("catalogue-mtl-1"))
		control("hosts/catalogue-qc-1/live")
		Eventually(eligible).WithTimeout(demoWaitTimeout).Should(ConsistOf("catalogue-mtl-1", "catalogue-qc-1"))
	})

	It("refuses an invalid configuration on every host and accepts the next one", func() {
		control("services/orders/bad")
		Eventually(logs.String).WithTimeout(demoWaitTimeout).Should(
			ContainSubstring("services/orders.json:5: timeout: a duration needs quotes and a unit"))
		Expect(get("/orders/").StatusCode).To(Equal(http.StatusOK))
		control("hosts/catalogue-mtl-1/remove")
		Eventually(eligible).WithTimeout(demoWaitTimeout).Should(ConsistOf("catalogue-qc-1"))
		Expect(respondingUpstreams()).To(ConsistOf("catalogue-qc-1"))
		Expect(get("/orders/").StatusCode).To(Equal(http.StatusOK))
	})

	It("explains requests and shows the state of running hosts", func() {
		admin := d.hosts[0].AdminAddress()
		var out, problems bytes.Buffer
		Expect(Run([]string{"explain", "--admin", admin, "-H", "X-Team: night", "/catalogue/urn-7"}, &out, &problems)).To(Equal(0), problems.String())
		Expect(out.String()).To(And(
			ContainSubstring("team=night"),
			MatchRegexp(`catalogue-qc-1 .* false +selector "tier=new", term "tier=new"`),
			MatchRegexp(`catalogue-qc-2 .* false +leaving`),
		))
		out.Reset()
		Expect(Run([]string{"status", admin}, &out, &problems)).To(Equal(0), problems.String())
		Expect(out.String()).To(And(ContainSubstring("generation:  3"), MatchRegexp(`catalogue-qc-2 .* leaving`)))
		out.Reset()
		Expect(Run([]string{"status", admin, "127.0.0.1:1", d.hosts[1].AdminAddress()}, &out, &problems)).To(Equal(1))
		Expect(out.String()).To(MatchRegexp(`(?s)entry-1 +true +false +3 .*entry-2 +true +false +3 `))
		Expect(problems.String()).To(ContainSubstring("connection refused"))
		out.Reset()
		Expect(Run([]string{"load", "--requests", "20", "--rate", "200", "lookup=http://" + d.hosts[0].Address() + "/catalogue/a"}, &out, &problems)).To(Equal(0))
		Expect(out.String()).To(MatchRegexp(`lookup +20 +20 +0 +0 +0 +0`))
	})

	It("finishes a download before an entry host stops", func() {
		response, err := http.Get("http://" + d.hosts[2].Address() + "/files/proof")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		control("entries/entry-3/stop")
		Eventually(d.hosts[2].Ready).WithTimeout(demoWaitTimeout).Should(BeFalse())
		Expect(io.Copy(io.Discard, response.Body)).To(Equal(response.ContentLength))
		Eventually(func() error {
			_, err := http.Get("http://" + d.hosts[2].AdminAddress() + "/livez")
			return err
		}).WithTimeout(demoWaitTimeout).Should(HaveOccurred())
	})
})

// Guards against a demo that never ends when it is interrupted while it starts.
var _ = It("a demo that is interrupted while it starts ends", func() {
	for range 10 {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if d, err := startDemo(ctx, 0, io.Discard); err == nil {
				d.wait()
			}
		}()
		Eventually(ended).WithTimeout(demoWaitTimeout).Should(BeClosed())
	}
})
