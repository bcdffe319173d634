package entryhost_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/document"
	"wisteriapond/standin"
)

// Guards against a planned stop that aborts a download, or that does not
// complete after it.
var _ = Describe("a planned stop of the host", func() {
	It("waits for a download and then completes", func() {
		host := newHost(newDeployment(3).standaloneSettings("entry-1"))
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

	// Guards against a host that is stopped before it runs and never ends, and against one
	// that does not keep its port open for the time to accept.
	It("may be requested before the host runs", func() {
		s := newDeployment(3).standaloneSettings("entry-1")
		for _, acceptFor := range []time.Duration{0, 200 * time.Millisecond} {
			s.AcceptFor = document.Duration(acceptFor)
			host := newHost(s)
			host.Stop()
			host.Stop()
			started := time.Now()
			ended := make(chan error, 1)
			go func() { ended <- host.Run(context.Background()) }()
			Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
			Expect(time.Since(started)).To(BeNumerically(">=", acceptFor))
			_, err := net.Dial("tcp", host.Address())
			Expect(err).To(HaveOccurred())
		}
	})

	// Guards against a request that is accepted on an idle connection late in the
	// stop, and is then aborted by the end of the process.
	It("closes idle connections while a download is still running", func() {
		host := newHost(newDeployment(3).standaloneSettings("entry-1"))
		ended := make(chan error, 1)
		go func() { ended <- host.Run(context.Background()) }()
		Eventually(host.Ready).WithTimeout(20 * time.Second).Should(BeTrue())

		idle, err := net.Dial("tcp", host.Address())
		Expect(err).NotTo(HaveOccurred())
		defer idle.Close()
		io.WriteString(idle, "GET /catalogue/urn-7 HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(idle), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(response.Body)).NotTo(BeEmpty())

		download, err := http.Get("http://" + host.Address() + "/files/proof")
		Expect(err).NotTo(HaveOccurred())
		defer download.Body.Close()
		host.Stop()
		idle.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err = idle.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		Expect(ended).NotTo(Receive())
		Expect(io.Copy(io.Discard, download.Body)).To(BeEquivalentTo(standin.DownloadBytes))
		Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
	})
})
