package core

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
)

var _ = ginkgo.Describe("a request that arrives ahead of its turn", func() {
	// Guards against a request that may not be repeated and runs although the response
	// ahead of it closes the connection: its caller sends it again.
	ginkgo.It("waits for its turn unless its route may be repeated, whatever its method", func() {
		r := newStoreTestReducer(defaultRegistry)
		r.list(routing(1), storeServer("a", "read", "mtl-a"), storeServer("b", "write", "mtl-a"))
		ahead := func(path string) []Effect {
			r.lastID++
			return r.step(RequestArrived{
				ID: r.lastID, BodyKept: true, Ahead: true, Request: config.Request{Method: "GET", Host: "h", Path: path},
			})
		}
		lookup := ahead("/lookup/x")
		Expect(count[Defer](lookup)).To(BeZero())
		Expect(count[Refuse](lookup)).To(BeZero())
		order := ahead("/order/x")
		Expect(firstEffect[Defer](order).Request).To(Equal(r.lastID))
		Expect(count[StartAttempt](order) + count[Refuse](order)).To(BeZero())
		Expect(r.state.requests).NotTo(HaveKey(r.lastID))
	})
})
