package entryhost_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// measureVariable enables the measurements, whose results are printed but do
	// not decide whether the test passes.
	measureVariable = "WISTERIAPOND_MEASURE"
	// addedTarget is the delay that the system may add at the 99th percentile.
	addedTarget  = 390 * time.Microsecond
	measureCalls = 20_000
	warmupCalls  = 1_000
)

// Measures the delay that the system adds to a call. Each caller alternates
// between calling the stand-in directly and calling it through the system, so
// that both are measured under the same conditions of the machine.
var _ = Describe("added delay", func() {
	BeforeEach(func() {
		if os.Getenv(measureVariable) == "" {
			Skip("set " + measureVariable + "=1 to measure")
		}
	})

	DescribeTable("of",
		func(request string, callers int) {
			d := newDeployment(1000)
			direct, through := d.backend, d.startHost()[len("http://"):]

			var group sync.WaitGroup
			directTimes, throughTimes := make([][]time.Duration, callers), make([][]time.Duration, callers)
			for i := range callers {
				group.Go(func() {
					defer GinkgoRecover()
					directTimes[i], throughTimes[i] = alternateCalls(direct, through, request, measureCalls/callers)
				})
			}
			group.Wait()
			report(slices.Concat(directTimes...), slices.Concat(throughTimes...))
		},
		Entry("a lookup, 1 caller", "GET /catalogue/urn-7 HTTP/1.1\r\nHost: h\r\n\r\n", 1),
		Entry("a lookup, 3 callers", "GET /catalogue/urn-7 HTTP/1.1\r\nHost: h\r\n\r\n", 3),
		Entry("an order, 1 caller", "POST /catalogue/orders HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nurn", 1),
	)
})

func alternateCalls(direct, through, request string, calls int) (directTimes, throughTimes []time.Duration) {
	a, b := connect(direct), connect(through)
	for i := range warmupCalls + calls {
		first, second := call(a, request), call(b, request)
		if i >= warmupCalls {
			directTimes = append(directTimes, first)
			throughTimes = append(throughTimes, second)
		}
	}
	return directTimes, throughTimes
}

func connect(address string) *bufio.ReadWriter {
	GinkgoHelper()
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return bufio.NewReadWriter(bufio.NewReader(c), bufio.NewWriter(c))
}

func call(c *bufio.ReadWriter, request string) time.Duration {
	GinkgoHelper()
	started := time.Now()
	c.WriteString(request)
	c.Flush()
	response, err := http.ReadResponse(c.Reader, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	took := time.Since(started)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	return took
}

func report(directTimes, throughTimes []time.Duration) {
	slices.Sort(directTimes)
	slices.Sort(throughTimes)
	for _, quantile := range []float64{0.5, 0.99, 0.999} {
		i := int(quantile * float64(len(directTimes)))
		difference := throughTimes[i] - directTimes[i]
		fmt.Fprintf(GinkgoWriter, "p%g: direct %v, through %v, ratio %.2f, difference %v (%.2f of the target)\n",
			quantile*100, directTimes[i], throughTimes[i], float64(throughTimes[i])/float64(directTimes[i]), difference, float64(difference)/float64(addedTarget))
	}
}
