package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/membership"
)

const step = 100 * time.Millisecond

// fleet is a number of tables with the messages between them. Messages arrive
// one step later.
type fleet struct {
	now    time.Duration
	tables []*membership.Table
	index  map[string]int
	down   map[int]bool
	cut    func(a, b int) bool
	queue  []delivery
	sent   int
	deaths map[string]int
}

type delivery struct {
	from, to int
	message  membership.Message
}

func newFleet(n int) *fleet {
	f := &fleet{
		index:  make(map[string]int),
		down:   make(map[int]bool),
		deaths: make(map[string]int),
		cut:    func(int, int) bool { return false },
	}
	for i := range n {
		f.tables = append(f.tables, nil)
		f.start(i, 1)
	}
	return f
}

func name(i int) string { return fmt.Sprintf("host-%03d", i) }

func (f *fleet) start(i int, incarnation uint64) {
	state := uint64(i)*7919 + incarnation
	random := func(n int) int {
		state = state*6364136223846793005 + 1442695040888963407
		return int(state>>33) % n
	}
	self := membership.Member{Name: name(i), Address: name(i), Region: "mtl"}
	f.tables[i] = membership.New(self, incarnation, random)
	f.index[name(i)] = i
	f.down[i] = false
	var out membership.Output
	f.tables[i].AddContact(name(0))
	f.tables[i].AddContact(name(1))
	f.tables[i].Join(f.now, []string{name(0)}, &out)
	f.take(i, &out)
}

func (f *fleet) take(from int, out *membership.Output) {
	for _, send := range out.Sends {
		f.sent++
		f.queue = append(f.queue, delivery{from: from, to: f.index[send.Address], message: send.Message})
	}
	for _, change := range out.Changes {
		if change.To == membership.Dead {
			f.deaths[change.Member.Name]++
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += step
		arriving := f.queue
		f.queue = nil
		for _, m := range arriving {
			if f.down[m.to] || f.down[m.from] || f.cut(m.from, m.to) {
				continue
			}
			var out membership.Output
			f.tables[m.to].Receive(f.now, name(m.from), m.message, &out)
			f.take(m.to, &out)
		}
		for i, table := range f.tables {
			if f.down[i] {
				continue
			}
			var out membership.Output
			table.Tick(f.now, &out)
			f.take(i, &out)
		}
	}
}

// seen returns how many running hosts believe that a member has the status.
func (f *fleet) seen(i int, status membership.Status) int {
	count := 0
	for j, table := range f.tables {
		if update, ok := table.Lookup(name(i)); ok && !f.down[j] && j != i && update.Status == status {
			count++
		}
	}
	return count
}

var _ = Describe("Table", func() {
	// Guards against hosts that share no view and so no owners of leases.
	It("makes every host known to every other", func() {
		f := newFleet(16)
		f.run(10 * time.Second)
		for _, table := range f.tables {
			Expect(table.Live()).To(Equal(15))
		}
		Expect(f.deaths).To(BeEmpty())
	})

	// Guards against duties that stay with a host that no longer runs.
	It("declares a host that stopped dead everywhere", func() {
		f := newFleet(16)
		f.run(10 * time.Second)
		f.down[7] = true
		f.run(40 * time.Second)
		Expect(f.seen(7, membership.Dead)).To(Equal(15))
		Expect(f.deaths).To(HaveLen(1))
	})

	// Guards against a live host that loses its duties because one link of
	// its is broken.
	It("keeps a host alive that some others cannot reach", func() {
		f := newFleet(16)
		f.run(10 * time.Second)
		f.cut = func(a, b int) bool { return min(a, b) == 3 && max(a, b) <= 6 }
		f.run(time.Minute)
		Expect(f.deaths).To(BeEmpty())
	})

	// Guards against a restarted host that stays dead in the others' tables.
	It("takes a restarted host back at its higher incarnation", func() {
		f := newFleet(8)
		f.run(10 * time.Second)
		f.down[5] = true
		f.run(30 * time.Second)
		Expect(f.seen(5, membership.Dead)).To(Equal(7))
		f.start(5, 2)
		f.run(10 * time.Second)
		Expect(f.seen(5, membership.Alive)).To(Equal(7))
	})

	// Guards against two fleets after the healing of a partition that lasted
	// longer than dead members are remembered.
	It("joins the sides of a healed partition", func() {
		f := newFleet(8)
		f.run(10 * time.Second)
		f.cut = func(a, b int) bool { return a%2 != b%2 }
		f.run(15 * time.Minute)
		Expect(f.tables[0].Live()).To(Equal(3))
		f.cut = func(int, int) bool { return false }
		f.run(time.Minute)
		for _, table := range f.tables {
			Expect(table.Live()).To(Equal(7))
		}
	})

	// Guards against a paused host that declares everyone else dead.
	It("recovers from a pause without a death", func() {
		f := newFleet(8)
		f.run(10 * time.Second)
		f.down[2] = true
		f.run(2 * time.Second)
		f.down[2] = false
		var out membership.Output
		f.tables[2].Resume(f.now, &out)
		f.take(2, &out)
		f.run(20 * time.Second)
		Expect(f.deaths).To(BeEmpty())
		Expect(f.seen(2, membership.Alive)).To(Equal(7))
	})

	// Guards against a stopping host that keeps duties until it is found dead.
	It("spreads a planned stop", func() {
		f := newFleet(8)
		f.run(10 * time.Second)
		var out membership.Output
		f.tables[4].Leave(f.tables[4].Sample(3), &out)
		f.take(4, &out)
		f.run(5 * time.Second)
		Expect(f.seen(4, membership.Left)).To(Equal(7))
		Expect(f.tables[0].Live()).To(Equal(6))
	})

	// Guards against a host that speaks for another one.
	It("ignores a message whose sender is not the host that its certificate names", func() {
		f := newFleet(2)
		var out membership.Output
		f.tables[0].Receive(f.now, name(1), membership.Message{
			Kind:   membership.Ping,
			Sender: membership.Update{Member: membership.Member{Name: "host-009", Address: "host-009"}},
		}, &out)
		Expect(out.Sends).To(BeEmpty())
		Expect(f.tables[0].Live()).To(BeZero())
	})

	// Guards against a cost per host that grows with the fleet.
	It("sends a number of messages per host that does not depend on the fleet", func() {
		rate := func(n int) float64 {
			f := newFleet(n)
			f.run(30 * time.Second)
			f.sent = 0
			f.run(30 * time.Second)
			return float64(f.sent) / float64(n) / 30
		}
		Expect(rate(64)).To(BeNumerically("<", 1.2*rate(8)))
	})
})

var _ = Describe("Rumors", func() {
	// Guards against statements that are repeated for ever, and against a queue
	// that grows without bound.
	It("drops what has been sent often enough", func() {
		var rumors membership.BroadcastQueue[int]
		for i := range 1000 {
			rumors.Add(fmt.Sprint(i), i)
		}
		Expect(rumors.Len()).To(Equal(512))
		for range 2000 {
			rumors.Next(8, 16)
		}
		Expect(rumors.Len()).To(BeZero())
	})
})
