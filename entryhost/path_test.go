package entryhost_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/standin"
)

// Guards against responses that come from the wrong backend server or have an
// incomplete body.
var _ = Describe("the path from caller to backend server", func() {
	var base string

	BeforeEach(func() {
		base = newDeployment(3).startHost()
	})

	It("serves a lookup and an order", func() {
		body, response := get(base + "/catalogue/urn-7")
		Expect(string(body)).To(Equal("backend-1 GET /catalogue/urn-7 0 bytes\n"))
		Expect(response.Header.Get("Wisteriapond-Upstream")).To(Equal("backend-1"))

		order, err := http.Post(base+"/catalogue/orders", "text/plain", strings.NewReader("urn"))
		Expect(err).NotTo(HaveOccurred())
		defer order.Body.Close()
		Expect(io.ReadAll(order.Body)).To(BeEquivalentTo("backend-1 POST /catalogue/orders 3 bytes\n"))
	})

	It("streams a download without changes", func() {
		body, _ := get(base + "/files/proof")
		Expect(body).To(HaveLen(standin.DownloadBytes))
		for _, offset := range []int{0, 1, 65535, 65536, standin.DownloadBytes / 2, standin.DownloadBytes - 1} {
			Expect(body[offset]).To(Equal(standin.DownloadByteAt(offset)))
		}
	})
})

func partDocument(address string) []byte {
	return fmt.Appendf(nil, `{
		// One backend server.
		"service": "catalogue",
		"match": [{"path_prefix": "/"}],
		"upstreams": [{
			"name": "backend-1", "host": "backend-1", "address": %q,
			"region": "mtl", "failure_domain": "mtl-a", "slots": 3, "connections": 220,
		}],
	}`, address)
}

func (d *deployment) startHost() string {
	host := newHost(d.standaloneSettings("entry-1"))
	run(host, 10*time.Second)
	Eventually(host.Ready).WithTimeout(10 * time.Second).Should(BeTrue())
	return "http://" + host.Address()
}

func get(url string) ([]byte, *http.Response) {
	response, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return body, response
}
