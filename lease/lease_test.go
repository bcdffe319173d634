package lease_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/lease"
)

var unit = lease.Unit{Service: "catalogue", Region: "mtl"}

const (
	upstreams = 3
	size      = 3
)

// group is an owner with several holders and the messages between them.
type group struct {
	now     time.Duration
	wait    time.Duration
	owner   *lease.Owner
	holders []*lease.Holder
	running map[*lease.Holding]*[upstreams]int
	asks    []sentAsk
	answers []sentAnswer
}

type sentAsk struct {
	from int
	ask  lease.Ask
}

type sentAnswer struct {
	to     int
	answer lease.Answer
}

func newGroup(holders int) *group {
	g := &group{now: time.Second, running: make(map[*lease.Holding]*[upstreams]int)}
	g.owner = lease.NewOwner(g)
	for range holders {
		g.addHolder()
	}
	return g
}

func (g *group) addHolder() {
	h := lease.NewHolder(1, g)
	g.holders = append(g.holders, h)
	h.SetUnit(unit, []string{"u0", "u1", "u2"})
	g.running[h.Holding(unit)] = &[upstreams]int{}
}

func (g *group) Owner(lease.Unit) string { return "owner" }

func (g *group) Refresh(holding *lease.Holding) {
	for u, slot := range holding.Slots {
		slot.Size = size
		if running := g.running[holding]; running != nil {
			slot.Running = running[u]
		}
	}
}

func (g *group) Ownership(lease.Unit) lease.Ownership {
	return lease.Ownership{Owned: true, Wait: max(0, g.wait-g.now)}
}

func (g *group) Sizes(lease.Unit) []lease.Slots {
	var sizes []lease.Slots
	for i := range upstreams {
		sizes = append(sizes, lease.Slots{Upstream: fmt.Sprint("u", i), Count: size})
	}
	return sizes
}

func (g *group) holding(i int) *lease.Holding { return g.holders[i].Holding(unit) }

func (g *group) want(i int) { g.wantMany(i, 1) }

func (g *group) wantMany(i, waiting int) { g.holders[i].SetWanted(g.now, g.holding(i), waiting) }

func (g *group) held(i int) int {
	sum := 0
	for _, slot := range g.holding(i).Slots {
		sum += slot.Held
	}
	return sum
}

// pass advances time by one tick and collects the messages.
func (g *group) pass(d time.Duration) {
	g.now += d
	for _, h := range g.holders {
		h.Tick(g.now)
	}
	g.owner.Tick(g.now)
	g.collect()
}

func (g *group) collect() {
	for i, h := range g.holders {
		for _, out := range h.Asks(g.now, true) {
			g.asks = append(g.asks, sentAsk{from: i, ask: out.Ask})
		}
	}
	for _, reply := range g.owner.Answers() {
		var to int
		fmt.Sscanf(reply.Holder, "h%d", &to)
		g.answers = append(g.answers, sentAnswer{to: to, answer: reply.Answer})
	}
}

func (g *group) deliverAsk(i int) {
	g.owner.Receive(g.now, fmt.Sprint("h", g.asks[i].from), g.asks[i].ask)
	g.collect()
}

func (g *group) deliverAnswer(i int) {
	g.holders[g.answers[i].to].Receive(g.now, "owner", g.answers[i].answer)
	g.collect()
}

// exchange delivers every message until none is under way.
func (g *group) exchange() {
	g.collect()
	for range 100 {
		if len(g.asks)+len(g.answers) == 0 {
			return
		}
		for len(g.asks) > 0 {
			g.deliverAsk(0)
			g.asks = slices.Delete(g.asks, 0, 1)
		}
		for len(g.answers) > 0 {
			g.deliverAnswer(0)
			g.answers = slices.Delete(g.answers, 0, 1)
		}
	}
	Fail("the messages do not come to an end")
}

func (g *group) run(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.pass(100 * time.Millisecond)
		g.exchange()
	}
}

// check verifies that no upstream has more slots held or granted than it has.
func (g *group) check(fail func(format string, args ...any)) {
	for u := range upstreams {
		held := 0
		for i := range g.holders {
			held += g.holding(i).Slots[u].Held
		}
		granted := 0
		if used := g.owner.GrantedByUpstream(unit); used != nil {
			granted = used[u].Count
		}
		if held > size || granted > size {
			fail("upstream %d with %d slots: %d held, %d granted", u, size, held, granted)
		}
	}
}

var _ = Describe("leases", func() {
	// Guards against requests that wait for a message although slots are free.
	It("leave a spare slot with a holder in use", func() {
		g := newGroup(2)
		g.want(0)
		g.exchange()
		Expect(g.held(0)).To(Equal(2))
		g.running[g.holding(0)][0] = 1
		g.run(500 * time.Millisecond)
		Expect(g.holding(0).Leased).To(BeTrue())
		Expect(g.held(0)).To(BeNumerically(">=", 2))
	})

	// Guards against slots that stay with a host that does not use them.
	It("give idle slots back", func() {
		g := newGroup(2)
		g.wantMany(0, 5)
		g.exchange()
		Expect(g.held(0)).To(Equal(6))
		g.run(12 * time.Second)
		Expect(g.held(0)).To(BeZero())
		Expect(g.holding(0).Leased).To(BeFalse())
		granted, _ := g.owner.Granted()
		Expect(granted).To(BeZero())
	})

	// Guards against a host that starves beside one that took all slots first.
	It("move slots towards equal shares", func() {
		g := newGroup(3)
		for i := range 3 {
			g.wantMany(i, upstreams*size)
			g.exchange()
		}
		for range 50 {
			for i := range 3 {
				g.wantMany(i, 5)
				g.use(i)
			}
			g.run(100 * time.Millisecond)
		}
		for i := range 3 {
			Expect(g.held(i)).To(BeNumerically(">=", 2), "holder %d", i)
		}
	})

	// Guards against requests that wait at one host while another one, whose
	// share is about as large, uses none of its slots.
	It("move an idle slot to a host that waits, and none that is in use", func() {
		g := newGroup(2)
		g.wantMany(0, 5)
		g.exchange()
		g.wantMany(1, 3)
		g.exchange()
		Expect([]int{g.held(0), g.held(1)}).To(Equal([]int{6, 3}))
		for range 20 {
			g.use(0)
			g.use(1)
			g.wantMany(1, 1)
			g.run(100 * time.Millisecond)
		}
		used := []int{g.held(0), g.held(1)}
		Expect(used[0]-used[1]).To(BeNumerically("<=", 1), "equal shares")
		Expect(used[0]).To(BeNumerically(">=", 4), "slots in use stay")
		*g.running[g.holding(0)] = [upstreams]int{}
		for range 20 {
			g.use(1)
			g.wantMany(1, 1)
			g.run(100 * time.Millisecond)
		}
		Expect(g.held(1)).To(Equal(upstreams*size), "idle slots move")
	})

	// Guards against a host that counts as waiting after its requests have
	// ended: no other one would be given its idle slots.
	It("forget a request for slots that is withdrawn", func() {
		g := newGroup(2)
		g.wantMany(0, 8)
		g.exchange()
		g.use(0)
		g.wantMany(0, 1)
		g.wantMany(1, 1)
		g.exchange()
		g.holders[0].ClearWanted(g.now, g.holding(0))
		*g.running[g.holding(0)] = [upstreams]int{}
		g.run(200 * time.Millisecond)
		Expect(g.held(1)).To(BeNumerically(">=", 1))
	})

	// Guards against a host without any slot when there are more hosts than
	// slots.
	It("give every host its turn when hosts outnumber slots", func() {
		g := newGroup(upstreams*size + 2)
		served := make(map[int]bool)
		for range 60 {
			for i := range g.holders {
				g.want(i)
				g.use(i)
				if g.held(i) > 0 {
					served[i] = true
				}
			}
			g.run(100 * time.Millisecond)
		}
		Expect(served).To(HaveLen(len(g.holders)))
	})

	// Guards against slots that are granted twice when the holder cannot be
	// reached.
	It("expire at the holder before they expire at the owner", func() {
		g := newGroup(2)
		g.want(0)
		g.exchange()
		for g.held(0) > 0 {
			g.pass(100 * time.Millisecond)
			granted, _ := g.owner.Granted()
			if g.held(0) > 0 {
				Expect(granted).To(BeNumerically(">=", g.held(0)))
			}
			g.asks, g.answers = nil, nil
		}
		Expect(g.now).To(BeNumerically("<=", time.Second+lease.MaxTerm+100*time.Millisecond))
		Expect(g.holding(0).Leased).To(BeFalse())
	})

	// Guards against a new owner that grants slots which the earlier owner's
	// holders still use.
	It("are not granted during the wait of a new owner, and keep used slots after it", func() {
		g := newGroup(2)
		g.wait = g.now + lease.MaxTerm
		*g.running[g.holding(0)] = [upstreams]int{size, size, size}
		g.holders[0].EnsureLeased(g.now, g.holding(0))
		g.want(1)
		g.exchange()
		Expect(g.holding(0).Leased).To(BeFalse())
		Expect(g.held(1)).To(BeZero())
		g.run(lease.MaxTerm + 300*time.Millisecond)
		Expect(g.holding(0).Leased).To(BeTrue())
		Expect(g.held(0)).To(BeNumerically(">=", upstreams*size-1))
	})

	// Guards against more requests on an upstream than it has slots, whatever
	// the links between hosts do. It fails when an answer is applied although
	// the holder has given slots back since.
	It("never exceed the slots while messages are lost, late, repeated and reordered", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := newGroup(3)
			for range 120 {
				g.step(t)
				g.check(t.Fatalf)
			}
		})
	})
})

// use runs as many requests at a holder as its leases allow.
func (g *group) use(i int) {
	for u, slot := range g.holding(i).Slots {
		g.running[g.holding(i)][u] = slot.Held
	}
	g.settle(i)
}

// step does one random thing to the group.
func (g *group) step(t *rapid.T) {
	i := rapid.IntRange(0, len(g.holders)-1).Draw(t, "holder")
	u := rapid.IntRange(0, upstreams-1).Draw(t, "upstream")
	running := &g.running[g.holding(i)][u]
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1:
		g.want(i)
		g.collect()
	case 2:
		*running = min(*running+1, max(g.holding(i).Slots[u].Held, 2))
	case 3:
		*running = max(0, *running-1)
		g.settle(i)
	case 4:
		g.pass(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
	case 5:
		g.drop(t)
	default:
		g.deliver(t)
	}
}

func (g *group) settle(i int) {
	g.holders[i].CheckOveruse()
	g.collect()
}

// deliver hands over a random message, which may stay for another delivery.
func (g *group) deliver(t *rapid.T) {
	again := rapid.IntRange(0, 4).Draw(t, "again") == 0
	if len(g.asks) > 0 && (len(g.answers) == 0 || rapid.Bool().Draw(t, "ask")) {
		i := rapid.IntRange(0, len(g.asks)-1).Draw(t, "index")
		g.deliverAsk(i)
		if !again {
			g.asks = slices.Delete(g.asks, i, i+1)
		}
		return
	}
	if len(g.answers) > 0 {
		i := rapid.IntRange(0, len(g.answers)-1).Draw(t, "index")
		g.deliverAnswer(i)
		if !again {
			g.answers = slices.Delete(g.answers, i, i+1)
		}
	}
}

func (g *group) drop(t *rapid.T) {
	if len(g.asks) > 0 && rapid.Bool().Draw(t, "ask") {
		g.asks = g.asks[1:]
	} else if len(g.answers) > 0 {
		g.answers = g.answers[1:]
	}
}
