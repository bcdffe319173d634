package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/membership"
)

const step = 100 * time.Millisecond

// cluster is a set of tables and the messages between them. A message arrives
// one step after it was sent.
type cluster struct {
	now         time.Duration
	tables      []*membership.Table
	index       map[string]int
	down        map[int]bool
	partitioned func(a, b int) bool
	queue       []delivery
	sent        int
	deaths      map[string]int
}

type delivery struct {
	from, to int
	message  membership.Message
}

func newCluster(n int) *cluster {
	c := &cluster{
		index:       make(map[string]int),
		down:        make(map[int]bool),
		deaths:      make(map[string]int),
		partitioned: func(int, int) bool { return false },
	}
	for i := range n {
		c.tables = append(c.tables, nil)
		c.start(i, 1)
	}
	return c
}

func name(i int) string { return fmt.Sprintf("host-%03d", i) }

func (c *cluster) start(i int, incarnation uint64) {
	state := uint64(i)*7919 + incarnation
	random := func(n int) int {
		state = state*6364136223846793005 + 1442695040888963407
		return int(state>>33) % n
	}
	self := membership.Member{Name: name(i), Address: name(i), Region: "mtl"}
	c.tables[i] = membership.New(self, incarnation, random)
	c.index[name(i)] = i
	c.down[i] = false
	var out membership.Output
	c.tables[i].AddContact(name(0))
	c.tables[i].AddContact(name(1))
	c.tables[i].Join(c.now, []string{name(0)}, &out)
	c.collect(i, &out)
}

func (c *cluster) collect(from int, out *membership.Output) {
	for _, send := range out.Sends {
		c.sent++
		c.queue = append(c.queue, delivery{from: from, to: c.index[send.Address], message: send.Message})
	}
	for _, change := range out.Changes {
		if change.To == membership.Dead {
			c.deaths[change.Member.Name]++
		}
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += step
		arriving := c.queue
		c.queue = nil
		for _, m := range arriving {
			if c.down[m.to] || c.down[m.from] || c.partitioned(m.from, m.to) {
				continue
			}
			var out membership.Output
			c.tables[m.to].Receive(c.now, name(m.from), m.message, &out)
			c.collect(m.to, &out)
		}
		for i, table := range c.tables {
			if c.down[i] {
				continue
			}
			var out membership.Output
			table.Tick(c.now, &out)
			c.collect(i, &out)
		}
	}
}

// countStatus returns the number of other running hosts in whose table a member
// has the given status.
func (c *cluster) countStatus(i int, status membership.Status) int {
	count := 0
	for j, table := range c.tables {
		if update, ok := table.Lookup(name(i)); ok && !c.down[j] && j != i && update.Status == status {
			count++
		}
	}
	return count
}

var _ = Describe("Table", func() {
	// Guards against hosts that disagree on the members and therefore on the
	// owners of leases.
	It("adds every host to the table of every other host", func() {
		c := newCluster(16)
		c.run(10 * time.Second)
		for _, table := range c.tables {
			Expect(table.LiveCount()).To(Equal(15))
		}
		Expect(c.deaths).To(BeEmpty())
	})

	// Guards against ownership that stays with a host that no longer runs.
	It("declares a crashed host dead on all hosts", func() {
		c := newCluster(16)
		c.run(10 * time.Second)
		c.down[7] = true
		c.run(40 * time.Second)
		Expect(c.countStatus(7, membership.Dead)).To(Equal(15))
		Expect(c.deaths).To(HaveLen(1))
	})

	// Guards against a live host losing its ownership because some of its links
	// are broken.
	It("keeps a host that only some others cannot reach", func() {
		c := newCluster(16)
		c.run(10 * time.Second)
		c.partitioned = func(a, b int) bool { return min(a, b) == 3 && max(a, b) <= 6 }
		c.run(time.Minute)
		Expect(c.deaths).To(BeEmpty())
	})

	// Guards against a restarted host that stays dead in the tables of the
	// others.
	It("accepts a restarted host with a higher incarnation", func() {
		c := newCluster(8)
		c.run(10 * time.Second)
		c.down[5] = true
		c.run(30 * time.Second)
		Expect(c.countStatus(5, membership.Dead)).To(Equal(7))
		c.start(5, 2)
		c.run(10 * time.Second)
		Expect(c.countStatus(5, membership.Alive)).To(Equal(7))
	})

	// Guards against two separate clusters after a partition that lasted longer
	// than dead members are remembered.
	It("merges the two sides after a partition has healed", func() {
		c := newCluster(8)
		c.run(10 * time.Second)
		c.partitioned = func(a, b int) bool { return a%2 != b%2 }
		c.run(15 * time.Minute)
		Expect(c.tables[0].LiveCount()).To(Equal(3))
		c.partitioned = func(int, int) bool { return false }
		c.run(time.Minute)
		for _, table := range c.tables {
			Expect(table.LiveCount()).To(Equal(7))
		}
	})

	// Guards against a host that declares all others dead after it was paused.
	It("declares no member dead after a pause", func() {
		c := newCluster(8)
		c.run(10 * time.Second)
		c.down[2] = true
		c.run(2 * time.Second)
		c.down[2] = false
		var out membership.Output
		c.tables[2].Resume(c.now, &out)
		c.collect(2, &out)
		c.run(20 * time.Second)
		Expect(c.deaths).To(BeEmpty())
		Expect(c.countStatus(2, membership.Alive)).To(Equal(7))
	})

	// Guards against a stopping host that keeps its ownership until it is
	// detected as dead.
	It("propagates a planned stop", func() {
		c := newCluster(8)
		c.run(10 * time.Second)
		var out membership.Output
		c.tables[4].Leave(c.tables[4].Sample(3), &out)
		c.collect(4, &out)
		c.run(5 * time.Second)
		Expect(c.countStatus(4, membership.Left)).To(Equal(7))
		Expect(c.tables[0].LiveCount()).To(Equal(6))
	})

	// Guards against a host that sends messages in the name of another one.
	It("ignores a message whose sender is not the host that its certificate names", func() {
		c := newCluster(2)
		var out membership.Output
		c.tables[0].Receive(c.now, name(1), membership.Message{
			Kind:   membership.Ping,
			Sender: membership.Update{Member: membership.Member{Name: "host-009", Address: "host-009"}},
		}, &out)
		Expect(out.Sends).To(BeEmpty())
		Expect(c.tables[0].LiveCount()).To(BeZero())
	})

	// Guards against a cost per host that grows with the number of hosts.
	It("sends a number of messages per host that does not depend on the number of hosts", func() {
		rate := func(n int) float64 {
			c := newCluster(n)
			c.run(30 * time.Second)
			c.sent = 0
			c.run(30 * time.Second)
			return float64(c.sent) / float64(n) / 30
		}
		Expect(rate(64)).To(BeNumerically("<", 1.2*rate(8)))
	})
})

var _ = Describe("BroadcastQueue", func() {
	// Guards against items that are sent forever, and against a queue
	// that grows without bound.
	It("is bounded and drops items that have been sent often enough", func() {
		var queue membership.BroadcastQueue[int]
		for i := range 1000 {
			queue.Add(fmt.Sprint(i), i)
		}
		Expect(queue.Len()).To(Equal(512))
		for range 2000 {
			queue.Next(8, 16)
		}
		Expect(queue.Len()).To(BeZero())
	})
})
