package health_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/health"
)

const typicalLatency = 10 * time.Millisecond

func newGroup(n int) (*health.Group, []*health.Upstream) {
	upstreams := make([]*health.Upstream, n)
	for i := range upstreams {
		upstreams[i] = &health.Upstream{}
	}
	g := &health.Group{}
	g.SetMembers(upstreams)
	return g, upstreams
}

func repeat(n int, do func()) {
	for range n {
		do()
	}
}

var _ = Describe("Group", func() {
	// Guards against ejecting more than a third of the upstreams, or any of one
	// or two.
	DescribeTable("limits the number of ejected upstreams", func(upstreams, failing, ejected int) {
		g, us := newGroup(upstreams)
		for _, u := range us[:failing] {
			repeat(10, func() { g.RecordFailure(u, 0, 0, typicalLatency) })
		}
		Expect(g.EjectedCount()).To(Equal(ejected))
	},
		Entry("one upstream", 1, 1, 0), Entry("one of two", 2, 1, 0), Entry("one of three", 3, 1, 1),
		Entry("two of six", 6, 2, 2), Entry("three of six", 6, 3, 2), Entry("four of six, the majority", 6, 4, 0),
		Entry("all of six", 6, 6, 0), Entry("five of fourteen", 14, 5, 4),
	)

	// Guards against ejecting servers when all of them have become slow.
	It("ejects a slow upstream only when most others are fast", func() {
		g, us := newGroup(6)
		repeat(100, func() {
			for _, u := range us {
				g.RecordSuccess(u, 0, typicalLatency)
			}
		})
		repeat(100, func() { g.RecordSuccess(us[0], 0, 20*typicalLatency) })
		Expect(us[0].Ejected()).To(BeTrue())

		g, us = newGroup(6)
		repeat(100, func() {
			for _, u := range us {
				g.RecordSuccess(u, 0, typicalLatency)
			}
		})
		repeat(100, func() {
			for _, u := range us {
				g.RecordSuccess(u, 0, 20*typicalLatency)
			}
		})
		Expect(g.EjectedCount()).To(BeZero())
	})

	// Guards against keeping a server that fails at least half of its requests
	// but never five in a row.
	It("ejects an upstream that fails much more often than the others", func() {
		g, us := newGroup(3)
		for i := 0; i < 200 && !us[0].Ejected(); i++ {
			g.RecordSuccess(us[1], 0, typicalLatency)
			if i%4 == 0 {
				g.RecordSuccess(us[0], 0, typicalLatency)
			} else {
				g.RecordFailure(us[0], 0, 0, typicalLatency)
			}
		}
		Expect(us[0].Ejected()).To(BeTrue())
	})

	// Guards against trial requests that are too frequent, never sent, or
	// concurrent.
	It("reinstates an upstream after a successful trial and doubles the wait between trials up to 30 s", func() {
		g, us := newGroup(3)
		repeat(5, func() { g.RecordFailure(us[0], 0, 0, typicalLatency) })
		now := time.Duration(0)
		for _, wait := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
			Expect(us[0].TrialDue(now + wait*time.Second - 1)).To(BeFalse())
			now += wait * time.Second
			Expect(us[0].TrialDue(now)).To(BeTrue())
			us[0].StartTrial()
			Expect(us[0].TrialDue(now)).To(BeFalse())
			g.RecordFailure(us[0], now, 0, typicalLatency)
		}
		now += 30 * time.Second
		us[0].StartTrial()
		Expect(g.RecordSuccess(us[0], now, typicalLatency)).To(Equal(health.Reinstated))
		Expect(us[0].UsableSlots(now, 4, 3*time.Second)).To(Equal(1))
		Expect(us[0].UsableSlots(now+time.Second, 4, 3*time.Second)).To(Equal(2))
		Expect(us[0].UsableSlots(now+3*time.Second, 4, 3*time.Second)).To(Equal(4))
	})

	// Guards against a server that looks fast because it fails within
	// microseconds.
	It("records a fast failure with a high latency", func() {
		g, us := newGroup(1)
		g.RecordFailure(us[0], 0, time.Microsecond, typicalLatency)
		Expect(us[0].Latency(typicalLatency)).To(BeNumerically(">", typicalLatency))
	})
})

// Guards against an estimate that is moved by a few long requests.
var _ = Describe("Median", func() {
	It("stays at the typical value when one in ten is far larger", func() {
		var m health.Median
		for i := range 1000 {
			x := typicalLatency
			if i%10 == 0 {
				x = time.Minute
			}
			m.Add(x)
		}
		Expect(m.Value()).To(BeNumerically("~", typicalLatency, typicalLatency/10))
	})
})
