package core

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/intake"
)

var _ = ginkgo.Describe("Callers that hold too much", func() {
	var s *State
	var at Instant

	ginkgo.BeforeEach(func() {
		s, at = New(), 0
		var out Effects
		s.Step(at, Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Limits: intake.Limits{Descriptors: 250}}, &out)
	})

	step := func(event Event) (closed []intake.Closure, counted int64, logs int) {
		var out Effects
		at = at.Add(200 * time.Millisecond)
		s.Step(at, event, &out)
		for _, effect := range out.All() {
			switch e := effect.(type) {
			case CloseCallers:
				closed = e.Closures
			case Count:
				if e.Counter == CounterCallersClosed {
					counted += e.Add
				}
			case Log:
				logs++
			}
		}
		return closed, counted, logs
	}
	idle := func() intake.Census {
		c := intake.Census{Waiting: true}
		for id := range intake.BoundsOf(intake.Limits{Descriptors: 250}).Connections {
			c.Connections = append(c.Connections, intake.Connection{ID: uint64(id), Phase: intake.PhaseIdle, For: time.Second})
		}
		return c
	}

	// Guards against connections that are closed without a trace, and against a log that
	// a crowd fills.
	ginkgo.It("are closed and counted, with one log entry in a while", func() {
		closed, counted, logs := step(CallersCounted{Census: idle()})
		Expect(closed).NotTo(BeEmpty())
		Expect(counted).To(BeEquivalentTo(len(closed)))
		Expect(logs).To(Equal(1))
		for range 10 {
			_, _, logs = step(CallersCounted{Census: idle()})
			Expect(logs).To(BeZero())
		}
		for range 50 {
			_, _, more := step(Tick{})
			logs += more
		}
		_, _, logs = step(CallersCounted{Census: idle()})
		Expect(logs).To(Equal(1))
	})

	// Guards against a decision about a shortage that has passed.
	ginkgo.It("are left alone without a shortage", func() {
		c := idle()
		c.Waiting = false
		closed, _, logs := step(CallersCounted{Census: c})
		Expect(closed).To(BeEmpty())
		Expect(logs).To(BeZero())
	})

	// Guards against idle connections to backend servers that are kept while callers
	// cannot be accepted.
	ginkgo.It("have the descriptors of idle connections to backend servers", func() {
		var out Effects
		s.Step(at, DescriptorsShort{Listener: "callers"}, &out)
		Expect(out.All()).To(ContainElement(CloseAllIdle{}))
	})
})
