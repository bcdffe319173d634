package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/relay"
	"wisteriapond/testsuite"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "relay")
}

func serve(answer func(context.Context, core.NewsAsk) (core.NewsAnswer, error)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := relay.NewServer(answer)
	go server.Serve(listener)
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

var _ = Describe("a question between entry hosts", func() {
	ask := core.NewsAsk{
		From:  core.Neighbour{Host: "entry-1", Address: "127.0.0.1:1", FailureDomain: "mtl-a", Capacity: 3},
		After: 7, Routing: 2, Wait: 50 * time.Millisecond,
	}

	// Guards against a field that is lost on the way.
	It("arrives whole, and so does its answer", func() {
		want := core.NewsAnswer{
			Known: true, Revision: 9, Whole: true, Age: time.Second,
			Servers: []core.ServerChange{
				{ID: "i-1", Server: &core.Server{ID: "i-1", Born: 5, Service: "s", Address: "10.0.0.1:80", FailureDomain: "mtl-a", Slots: 3, ColdFor: time.Second}},
				{ID: "i-2"},
			},
			Routing:    &config.Routing{Version: 4, Routes: []config.Route{{Name: "r", Targets: []config.Target{{Service: "s", Weight: 1}}}}},
			Neighbours: []core.Neighbour{ask.From},
		}
		got := make(chan core.NewsAsk, 1)
		address := serve(func(_ context.Context, a core.NewsAsk) (core.NewsAnswer, error) {
			got <- a
			return want, nil
		})
		Expect(relay.NewClient().Poll(address, ask)).To(Equal(want))
		Expect(got).To(Receive(Equal(ask)))
	})

	// Guards against a host that waits for ever, and against a question that a
	// library repeats.
	It("fails in time, once", func() {
		asked := make(chan struct{}, 8)
		address := serve(func(ctx context.Context, _ core.NewsAsk) (core.NewsAnswer, error) {
			asked <- struct{}{}
			<-ctx.Done()
			return core.NewsAnswer{}, ctx.Err()
		})
		begun := time.Now()
		_, err := relay.NewClient().Poll(address, ask)
		var failure *relay.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Second))
		Expect(asked).To(HaveLen(1))
		_, err = relay.NewClient().Poll("127.0.0.1:1", ask)
		Expect(errors.As(err, &failure)).To(BeTrue())
	})

	// Guards against a fault in what others send.
	It("is refused when it cannot be read", func() {
		address := serve(func(context.Context, core.NewsAsk) (core.NewsAnswer, error) { return core.NewsAnswer{}, nil })
		response, err := http.Post("http://"+address+"/news", "", strings.NewReader("\xff\xff"))
		Expect(err).NotTo(HaveOccurred())
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	})
})
