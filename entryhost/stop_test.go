package entryhost_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/standin"
)

// Guards against a stop that cuts a download, or that does not end after it.
var _ = Describe("a stop of the host", func() {
	It("waits for a download, and ends after it", func() {
		host := newHost(newDeployment(3).alone("entry-1"))
		ended := make(chan error, 1)
		go func() { ended <- host.Run(context.Background()) }()
		Eventually(host.Ready).WithTimeout(20 * time.Second).Should(BeTrue())

		response, err := http.Get("http://" + host.Address() + "/files/proof")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		host.Stop()
		Eventually(func() error {
			c, err := net.Dial("tcp", host.Address())
			if err == nil {
				c.Close()
			}
			return err
		}).WithTimeout(20 * time.Second).Should(HaveOccurred())
		Expect(ended).NotTo(Receive())
		Expect(io.Copy(io.Discard, response.Body)).To(BeEquivalentTo(standin.DownloadBytes))
		Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
	})
})
