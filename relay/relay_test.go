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
	"wisteriapond/standin"
	"wisteriapond/testsuite"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "relay")
}

func serve(respond func(context.Context, core.NewsAsk) (core.NewsAnswer, error)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := relay.NewServer(respond)
	go server.Serve(listener)
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

// emptyAnswer is the shortest answer to a poll: an encoded map without entries.
const emptyAnswer = "\xa0"

var _ = Describe("a poll between entry hosts", func() {
	poll := core.NewsAsk{
		From:  core.Neighbour{Host: "entry-1", Address: "127.0.0.1:1", FailureDomain: "mtl-a", Capacity: 3},
		After: 7, Routing: 2, Wait: 50 * time.Millisecond,
	}

	// Guards against fields of a poll or a response that are lost in the encoding.
	It("arrives complete, and so does its response", func() {
		want := core.NewsAnswer{
			Known: true, Revision: 9, Whole: true, Age: time.Second,
			Servers: []core.ServerChange{
				{ID: "i-1", Server: &core.Server{ID: "i-1", Born: 5, Service: "s", Address: "10.0.0.1:80", FailureDomain: "mtl-a", Slots: 3, ColdFor: time.Second}},
				{ID: "i-2"},
			},
			Routing:    &config.Routing{Version: 4, Routes: []config.Route{{Name: "r", Targets: []config.Target{{Service: "s", Weight: 1}}}}},
			Neighbours: []core.Neighbour{poll.From},
		}
		got := make(chan core.NewsAsk, 1)
		address := serve(func(_ context.Context, a core.NewsAsk) (core.NewsAnswer, error) {
			got <- a
			return want, nil
		})
		Expect(relay.NewClient().Poll(address, poll)).To(Equal(want))
		Expect(got).To(Receive(Equal(poll)))
	})

	// Guards against a process that never ends, since it is stopped while it starts or
	// while a poll has arrived only in part.
	It("does not keep its server from being closed", func() {
		respond := func(context.Context, core.NewsAsk) (core.NewsAnswer, error) { return core.NewsAnswer{}, nil }
		for _, served := range []bool{false, true} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			server := relay.NewServer(respond)
			ended := make(chan error, 1)
			serve := func() { ended <- server.Serve(listener) }
			if served {
				go serve()
				c, err := net.Dial("tcp", listener.Addr().String())
				Expect(err).NotTo(HaveOccurred())
				defer c.Close()
				io.WriteString(c, "POST /news HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
				time.Sleep(50 * time.Millisecond)
			}
			closed := make(chan struct{})
			go func() { server.Close(); close(closed) }()
			Eventually(closed).WithTimeout(20 * time.Second).Should(BeClosed())
			if !served {
				go serve()
			}
			Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
		}
	})

	// Guards against a host that waits forever for a response, and against polls
	// that the HTTP library retries.
	It("times out without a retry", func() {
		received := make(chan struct{}, 8)
		address := serve(func(ctx context.Context, _ core.NewsAsk) (core.NewsAnswer, error) {
			received <- struct{}{}
			<-ctx.Done()
			return core.NewsAnswer{}, ctx.Err()
		})
		started := time.Now()
		_, err := relay.NewClient().Poll(address, poll)
		var failure *relay.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically("<", 10*time.Second))
		Expect(received).To(HaveLen(1))
		_, err = relay.NewClient().Poll("127.0.0.1:1", poll)
		Expect(errors.As(err, &failure)).To(BeTrue())
	})

	// Guards against malformed polls being passed on as valid ones.
	It("is rejected if it is malformed", func() {
		address := serve(func(context.Context, core.NewsAsk) (core.NewsAnswer, error) { return core.NewsAnswer{}, nil })
		response, err := http.Post("http://"+address+"/news", "", strings.NewReader("\xff\xff"))
		Expect(err).NotTo(HaveOccurred())
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	})

	// Guards against a response that counts as one of another host although its status is
	// none, or its header cannot be understood in one way only.
	It("fails if the header section of the response is broken", func() {
		for _, raw := range append(standin.BrokenHeads(emptyAnswer), standin.BrokenHeads("")...) {
			server, err := standin.StartRawServer(standin.RespondOnce(raw))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			_, err = relay.NewClient().Poll(server.Address(), poll)
			var failure *relay.Error
			Expect(errors.As(err, &failure)).To(BeTrue(), "%q: %v", raw, err)
			Expect(server.Requests()).To(HaveLen(1))
		}
	})

	// Guards against a part of a response that counts as a complete one.
	It("fails wherever the response ends early", func() {
		whole := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + emptyAnswer
		for sent := range len(whole) + 1 {
			server, err := standin.StartRawServer(standin.RespondOnce(whole[:sent]))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			_, err = relay.NewClient().Poll(server.Address(), poll)
			Expect(err == nil).To(Equal(sent == len(whole)), "%q: %v", whole[:sent], err)
		}
	})
})
