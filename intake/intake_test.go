package intake

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const smallestMemory, smallestDescriptors = 136_000_000, 2870

var _ = Describe("Bounds", func() {
	// Guards against bounds that together exceed the limits they follow from.
	It("fit into the limits of any machine", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limits := Limits{
				Memory:      rapid.Int64Range(64<<20, 64<<30).Draw(t, "memory"),
				Descriptors: rapid.IntRange(300, 1<<20).Draw(t, "descriptors"),
			}
			b := BoundsOf(limits)
			if sockets := limits.Descriptors - reservedDescriptors; b.Connections+b.ServerConnections >= sockets {
				t.Fatalf("%d connections of %d sockets", b.Connections+b.ServerConnections, sockets)
			}
			connections := int64(b.Connections) * (ConnectionBytes + kernelFactor*int64(b.ReceiveBuffer))
			servers := int64(b.ServerConnections) * (serverBytes + kernelFactor*SmallBuffer)
			streams := int64(b.Streams) * kernelFactor * int64(b.AnswerBuffer)
			if connections+servers+streams+b.HeldAnswers > b.Bytes || b.Bytes+minOwnMemory > limits.Memory {
				t.Fatalf("%d bytes for callers, %d for servers, %d for streams and %d for answers of %d", connections, servers, streams, b.HeldAnswers, b.Bytes)
			}
			most := b.Charge(Use{SendsAhead: true, Streaming: true, Stalled: true})
			if int64(b.Quiet)*most > b.Bytes {
				t.Fatalf("%d connections need no census, but may hold %d bytes", b.Quiet, int64(b.Quiet)*most)
			}
			if b.Heap >= limits.Memory {
				t.Fatalf("a heap of %d bytes", b.Heap)
			}
		})
	})

	// Guards against bounds that ordinary callers of the smallest machine meet.
	It("leave room on the smallest machine", func() {
		b := BoundsOf(Limits{Memory: smallestMemory, Descriptors: smallestDescriptors})
		Expect(b.Connections).To(BeNumerically(">=", 600))
		Expect(b.ServerConnections).To(BeNumerically(">=", 250))
		Expect(b.Streams).To(BeNumerically(">=", 40))
		Expect(b.HeldAnswers).To(BeNumerically(">=", 8<<20))
	})

	// Guards against a process without limits in its settings that bounds its callers.
	It("without limits leave room for any caller", func() {
		b := BoundsOf(Limits{})
		Expect(b.Connections).To(BeNumerically(">", 40_000))
		Expect(b.Bytes + b.HeldAnswers + b.Heap + int64(b.ReceiveBuffer)).To(BeZero())
	})
})

func census(t *rapid.T, b *Bounds) Census {
	c := Census{Waiting: rapid.Bool().Draw(t, "waiting"), ServersFull: rapid.Bool().Draw(t, "full")}
	for id := range rapid.IntRange(0, b.Connections).Draw(t, "connections") {
		connection := Connection{
			ID: uint64(id + 1), Phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase")),
			For:   time.Duration(rapid.IntRange(0, 8000).Draw(t, "for")) * time.Millisecond,
			Bytes: rapid.Int64Range(ConnectionBytes, 4<<20).Draw(t, "bytes"),
		}
		if connection.Phase == PhaseRequest {
			connection.Stalled = time.Duration(rapid.IntRange(0, 3000).Draw(t, "stalled")) * time.Millisecond
			connection.Uploading = rapid.Bool().Draw(t, "uploading")
			connection.Server = connection.Uploading || rapid.Bool().Draw(t, "server")
		}
		c.Connections = append(c.Connections, connection)
	}
	return c
}

func closable(c *Connection, memory bool) bool {
	switch c.Phase {
	case PhaseFresh:
		return c.For >= freshTime
	case PhaseHead:
		return c.For >= headTime
	case PhaseRequest:
		return c.Stalled >= stallTime || c.Uploading && c.For >= bodyTime || memory && c.Stalled >= StallNotice
	default:
		return true
	}
}

var _ = Describe("Decide", func() {
	bounds := BoundsOf(Limits{Memory: 40 << 20, Descriptors: 250})

	// Guards against closing connections of ordinary callers: without a shortage, with a
	// request in progress, or beyond what is needed; and against a decision that depends
	// on the order of the census.
	It("closes only what may be closed, and no more than is needed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := census(t, &bounds)
			closures := bounds.Decide(&c)
			if len(bounds.Shortages(&c)) == 0 && len(closures) > 0 {
				t.Fatalf("closes %d connections without a shortage", len(closures))
			}
			byID := make(map[uint64]*Connection)
			for i := range c.Connections {
				byID[c.Connections[i].ID] = &c.Connections[i]
			}
			wanted := bounds.needOf(&c)
			for _, closure := range closures {
				connection := byID[closure.ID]
				if wanted.met() && !(c.Waiting && connection != nil && connection.Phase == PhaseFresh) {
					t.Fatalf("closes more than is needed: %+v", connection)
				}
				if connection == nil || !closable(connection, wanted.bytes > 0) {
					t.Fatalf("closes %+v", connection)
				}
				wanted.subtract(connection)
				delete(byID, closure.ID)
			}
			if !wanted.met() && wanted.connections+int(wanted.bytes) > 0 {
				for _, left := range byID {
					if closable(left, wanted.bytes > 0) {
						t.Fatalf("leaves %+v open", left)
					}
				}
			}
			slices.Reverse(c.Connections)
			if !slices.Equal(closures, bounds.Decide(&c)) {
				t.Fatalf("depends on the order of the census")
			}
		})
	})

	full := func(connections ...Connection) *Census {
		c := &Census{Waiting: true, Connections: connections}
		for len(c.Connections) < bounds.Connections {
			c.Connections = append(c.Connections, Connection{ID: uint64(1000 + len(c.Connections)), Phase: PhaseRequest})
		}
		return c
	}
	reasons := func(closures []Closure) (ids []uint64) {
		for _, closure := range closures {
			ids = append(ids, closure.ID)
		}
		return ids
	}

	// Guards against closing a connection whose caller loses something while one without
	// a request is open.
	It("closes connections without a request before slow heads, and those before answers", func() {
		c := full(
			Connection{ID: 1, Phase: PhaseRequest, Stalled: time.Minute},
			Connection{ID: 2, Phase: PhaseHead, For: 2 * time.Second},
			Connection{ID: 3, Phase: PhaseHead, For: 3 * time.Second},
			Connection{ID: 4, Phase: PhaseIdle, For: time.Second},
			Connection{ID: 5, Phase: PhaseFresh, For: time.Second},
			Connection{ID: 6, Phase: PhaseFresh, For: time.Millisecond},
			Connection{ID: 7, Phase: PhaseRequest, Uploading: true, For: time.Minute},
		)
		Expect(reasons(bounds.Decide(c))).To(HaveExactElements(uint64(5), uint64(4), uint64(3)))
		Expect(bounds.Connections / roomPart).To(Equal(3))
	})

	// Guards against idle connections that are closed for connections to backend servers,
	// which does not free any.
	It("cuts only what occupies a backend server when connections to those are short", func() {
		c := &Census{ServersFull: true, Connections: []Connection{
			{ID: 1, Phase: PhaseIdle, For: time.Minute},
			{ID: 2, Phase: PhaseRequest, Stalled: 2 * time.Second, Server: true},
			{ID: 3, Phase: PhaseRequest, Stalled: 3 * time.Second, Server: true},
			{ID: 4, Phase: PhaseRequest, Uploading: true, Server: true, For: 6 * time.Second},
		}}
		closures := bounds.Decide(c)
		Expect(closures).NotTo(BeEmpty())
		Expect(closures[0]).To(Equal(Closure{ID: 3, Phase: PhaseRequest, Reason: ReasonStalled}))
		Expect(reasons(closures)).NotTo(ContainElement(uint64(1)))
	})
})
