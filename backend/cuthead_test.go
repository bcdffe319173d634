package backend_test

import (
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/backend"
	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/standin"
)

// completeHeads are header sections. On its nth connection a server sends the first n
// bytes of one.
var completeHeads = []string{
	"HTTP/1.1 200 OK\r\nX-A: a\r\nContent-Length: 1234\r\nX-B: b\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-B: b\r\n\r\n",
	"HTTP/1.0 200 OK\r\nX-A: a\r\n\r\n",
	"HTTP/1.1 200\r\nX-A:\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nX-A: a\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: a\r\n\r\n",
	"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
}

// Guards against a header section that counts as complete where the server stopped: the
// response would have no length, and its body would seem to end with the connection.
var _ = Describe("a server that stops within a header section", func() {
	requests := map[string]func() *backend.Request{
		"an order": func() *backend.Request { return post("order") }, "a lookup": get, "HEAD": head,
		"an upload": func() *backend.Request {
			return streamedPost(strings.NewReader(longBody), int64(len(longBody)), func() {})
		},
	}
	stops := map[string]func(c *net.TCPConn){
		"closes": func(*net.TCPConn) {},
		"resets": func(c *net.TCPConn) { c.SetLinger(0) },
		"half closes": func(c *net.TCPConn) {
			c.CloseWrite()
			io.Copy(io.Discard, c)
		},
	}
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		for _, end := range slices.Sorted(maps.Keys(stops)) {
			It(end+" the connection and makes the outcome of "+name+" unknown", func() {
				for _, whole := range completeHeads {
					s := serve(func(c *standin.RawConn) {
						sent := int(c.Number)
						c.ReadRequest()
						// In two parts, so that the beginning is seen alone.
						io.WriteString(c, whole[:sent/2])
						time.Sleep(200 * time.Microsecond)
						io.WriteString(c, whole[sent/2:sent])
						stops[end](c.Conn.(*net.TCPConn))
					})
					f := newFixture()
					command := f.command(s.Address())
					command.NotRun = config.NotRunForm{Header: "X-Not-Run", Value: "1"}
					for sent := 1; sent < len(whole); sent++ {
						x := f.run(command, requests[name]())
						Expect(x.Facts.Cause).To(Equal(outcome.CauseReset), "%q", whole[:sent])
						Expect(outcome.Classify(x.Facts, 0)).To(Equal(outcome.Unknown), "%q", whole[:sent])
						Expect(x.Streaming).To(BeFalse())
						Expect(f.pool.OpenConnections(s.Address())).To(BeZero())
						Expect(s.Accepted()).To(BeEquivalentTo(sent))
					}
				}
			})
		}
	}

	It("leaves the outcome unknown on a kept connection", func() {
		for _, whole := range completeHeads {
			s := serve(func(c *standin.RawConn) {
				for _, raw := range []string{statusOK + withLength("first"), whole[:c.Number]} {
					if c.ReadRequest() != nil {
						io.WriteString(c, raw)
					}
				}
			})
			f := newFixture()
			for sent := 1; sent < len(whole); sent++ {
				Expect(f.run(f.command(s.Address()), get()).Facts.Cause).To(Equal(outcome.CauseNone))
				x := f.run(f.command(s.Address()), post("order"))
				Expect(x.Facts.Cause).To(Equal(outcome.CauseReset), "%q", whole[:sent])
				Expect(s.Accepted()).To(BeEquivalentTo(sent))
			}
		}
	})

	It("is no response to a load query", func() {
		for _, reuse := range []bool{false, true} {
			for _, whole := range completeHeads {
				s := serve(func(c *standin.RawConn) { standin.RespondOnce(whole[:c.Number])(c) })
				f := newFixture()
				for sent := 1; sent < len(whole); sent++ {
					facts, _ := f.pool.Probe(GinkgoT().Context(), f.clock, core.StartProbe{
						Address: s.Address(), Reuse: reuse, StartBefore: f.command("").StartBefore,
						Probe: config.Probe{Path: "/load", Timeout: waitTimeout, AnswerLimit: 4 << 10},
					})
					Expect(facts.Cause).To(Equal(outcome.CauseReset), "%q", whole[:sent])
					Expect(facts.Status).To(BeZero())
				}
			}
		}
	})
})
