package cli

import (
	"bytes"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("trace", func() {
	write := func(name, text string) string {
		file := filepath.Join(GinkgoT().TempDir(), name)
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		return file
	}

	// Guards against entries that are missing, out of order, or of another request.
	It("collects the log entries of one request from several hosts", func() {
		first := write("1.log", `12.0 entry-1 {"fields":{"host":"entry-1","request":"r1","outcome":"refused","reason":"no_host"},"level":"warn","timestamp":"2026-03-21T02:58:26.5Z","message":"request refused"}
not a line
{"fields":{"host":"entry-1","request":"r2"},"level":"warn","timestamp":"2026-03-21T02:58:26.6Z","message":"request late"}
`)
		second := write("2.log", `{"fields":{"host":"entry-2","server":"i-9","state":"ready"},"level":"info","timestamp":"2026-03-21T02:58:20Z","message":"backend server changed"}
{"fields":{"host":"entry-2","server":"i-8","state":"ready"},"level":"info","timestamp":"2026-03-21T02:58:21Z","message":"backend server changed"}
{"fields":{"host":"entry-2","request":"r1","outcome":"failed","attempts":"i-9 at 1.0ms, own 0: unknown (reset) after 5.0ms; i-7 at 9.0ms: under way"},"level":"warn","timestamp":"2026-03-21T02:58:27Z","message":"request failed"}
{"fields":{"host":"entry-2","server":"i-9","state":"gone"},"level":"info","timestamp":"2026-03-21T02:58:28Z","message":"backend server removed"}
`)
		var out bytes.Buffer
		Expect(Run([]string{"trace", "r1", second, first}, &out, GinkgoWriter)).To(BeZero())
		Expect(out.String()).To(Equal(`02:58:20.000 info  entry-2: backend server changed
    server: i-9
    state: ready
02:58:26.500 warn  entry-1: request refused
    outcome: refused
    reason: no_host
    request: r1
02:58:27.000 warn  entry-2: request failed
    outcome: failed
    request: r1
    attempt: i-9 at 1.0ms, own 0: unknown (reset) after 5.0ms
    attempt: i-7 at 9.0ms: under way
`))
	})

	// Guards against empty output for a request without log entries.
	It("reports that no log entry names the request", func() {
		var stderr bytes.Buffer
		Expect(Run([]string{"trace", "r1", write("empty.log", "")}, GinkgoWriter, &stderr)).To(Equal(2))
		Expect(stderr.String()).To(ContainSubstring(`"r1"`))
	})
})
