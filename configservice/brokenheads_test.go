package configservice_test

import (
	"context"
	"errors"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/configservice"
	"wisteriapond/standin"
)

// Guards against a value, or the ETag by which the next call names it, from a response
// whose header cannot be understood in one way only.
var _ = It("a response whose header section is broken is an error", func() {
	for _, raw := range standin.BrokenHeads("value") {
		server, err := standin.StartRawServer(standin.RespondOnce(raw))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client := configservice.NewClient("http://" + server.Address())
		var failure *configservice.Error
		_, err = client.Read(context.Background(), "manifest")
		Expect(errors.As(err, &failure)).To(BeTrue(), "%q: %v", raw, err)
		_, err = client.Watch(context.Background(), "manifest", "etag")
		Expect(errors.As(err, &failure)).To(BeTrue(), "%q: %v", raw, err)
		_, err = client.Hosts(context.Background(), "")
		Expect(errors.As(err, &failure)).To(BeTrue(), "%q: %v", raw, err)
	}
})

// Guards against a part of a value that counts as all of it.
var _ = It("a response that ends early is an error", func() {
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nETag: x\r\nContent-Length: %d\r\n\r\n%s", len("value"), "value")
	for sent := range len(whole) {
		server, err := standin.StartRawServer(standin.RespondOnce(whole[:sent]))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		_, err = configservice.NewClient("http://"+server.Address()).Read(context.Background(), "manifest")
		Expect(err).To(HaveOccurred(), "%q", whole[:sent])
	}
})
