package entryhost_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/entryhost"
	"wisteriapond/settings"
	"wisteriapond/standin"
)

// Guards against a stop that cuts a download, or that does not end after it.
var _ = Describe("a stop of the host", func() {
	It("waits for a download, and ends after it", func() {
		backend := httptest.NewServer(standin.NewBackend("backend-1", 3, 0))
		DeferCleanup(backend.Close)
		platform := standin.NewPlatform()
		platform.PublishConfiguration(1, map[string][]byte{"catalogue": part(backend.Listener.Addr().String())}, nil)
		platformServer := httptest.NewServer(platform)
		DeferCleanup(platformServer.Close)
		host, err := entryhost.New(&settings.Settings{
			Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Platform: platformServer.URL,
		}, &log.Logger{Handler: discard.New()})
		Expect(err).NotTo(HaveOccurred())
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
