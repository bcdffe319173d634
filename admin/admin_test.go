package admin_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/admin"
	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/metrics"
)

// source is a host with a fixed state. stuck simulates a control goroutine that
// does not respond.
type source struct {
	ready bool
	stuck bool
}

func (s source) Ready() bool { return s.ready }

func (s source) Status(context.Context) (core.Status, error) {
	if s.stuck {
		return core.Status{}, errors.New("control goroutine did not respond")
	}
	return core.Status{Host: "entry-1"}, nil
}

func (s source) Explain(_ context.Context, r config.Request) (config.Explanation, error) {
	headers := make([]string, 0, len(r.Headers))
	for _, header := range r.Headers {
		headers = append(headers, header.Name+"="+header.Value)
	}
	return config.Explanation{Service: strings.Join(append(headers, r.Method, r.Host, r.Path), " ")}, nil
}

// Guards against a liveness check that fails on a busy host, a host that is
// reported ready too early, and profiles that are available by default.
var _ = DescribeTable("the admin server",
	func(s source, options admin.Options, path string, status int, body string) {
		server := admin.NewServer(s, metrics.New(), options)
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		Expect(recorder.Code).To(Equal(status))
		Expect(recorder.Body.String()).To(ContainSubstring(body))
	},
	Entry("reports a live process while the control goroutine does not respond", source{stuck: true}, admin.Options{}, "/livez", 200, "ok"),
	Entry("reports a host that is ready", source{ready: true}, admin.Options{}, "/readyz", 200, "ok"),
	Entry("reports a host that is not ready", source{}, admin.Options{}, "/readyz", 503, "not ready"),
	Entry("shows the status", source{}, admin.Options{}, "/status", 200, `"Host": "entry-1"`),
	Entry("reports that the status is unavailable", source{stuck: true}, admin.Options{}, "/status", 503, "control goroutine did not respond"),
	Entry("shows metrics", source{}, admin.Options{}, "/metrics", 200, "wisteriapond_refusals_total"),
	Entry("explains a request", source{}, admin.Options{}, "/explain?method=GET&host=h&path=/a&header=X-Team:+night", 200, "x-team=night GET h /a"),
	Entry("explains a path with an escape and a query", source{}, admin.Options{}, "/explain?method=GET&host=h&path=/a%252Fb//..%3Fc", 200, `"GET h /a%2Fb//.."`),
	Entry("refuses a header without a value", source{}, admin.Options{}, "/explain?header=X-Team", 400, "Name: value"),
	Entry("refuses too many headers", source{}, admin.Options{}, "/explain?"+strings.Repeat("header=a:b&", 65), 400, "too many"),
	Entry("serves no profiles by default", source{}, admin.Options{}, "/debug/pprof/", 404, ""),
	Entry("serves profiles if enabled", source{}, admin.Options{Profiling: true}, "/debug/pprof/", 200, "goroutine"),
)

// Guards against a host that is stopped while it starts, and whose admin listener then
// stays open.
var _ = It("an admin server that is closed before it serves closes its listener", func() {
	server := admin.NewServer(source{}, metrics.New(), admin.Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(server.Close()).To(Succeed())
	Expect(server.Serve(l)).To(Succeed())
	_, err = net.Dial("tcp", l.Addr().String())
	Expect(err).To(HaveOccurred())
})
