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
	upstreams        = 3
	slotsPerUpstream = 3
)

// cluster is an owner with several holders and the messages in flight between
// them. running is the number of requests of each holder per upstream.
type cluster struct {
	now time.Duration
	// waitUntil is the end of the wait of a new owner, 0 for none.
	waitUntil time.Duration
	owner     *lease.Owner
	holders   []*lease.Holder
	running   map[*lease.Holding]*[upstreams]int
	asks      []sentAsk
	answers   []sentAnswer
}

type sentAsk struct {
	from int
	ask  lease.Ask
}

type sentAnswer struct {
	to     int
	answer lease.Answer
}

func newCluster(holders int) *cluster {
	c := &cluster{now: time.Second, running: make(map[*lease.Holding]*[upstreams]int)}
	c.owner = lease.NewOwner(c)
	for range holders {
		c.addHolder()
	}
	return c
}

func (c *cluster) addHolder() {
	h := lease.NewHolder(1, c)
	c.holders = append(c.holders, h)
	h.SetUnit(unit, []string{"u0", "u1", "u2"})
	c.running[h.Holding(unit)] = &[upstreams]int{}
}

func (c *cluster) Owner(lease.Unit) string { return "owner" }

func (c *cluster) Refresh(holding *lease.Holding) {
	for u, slot := range holding.Slots {
		slot.Size = slotsPerUpstream
		if running := c.running[holding]; running != nil {
			slot.Running = running[u]
		}
	}
}

func (c *cluster) Ownership(lease.Unit) lease.Ownership {
	return lease.Ownership{Owned: true, Wait: max(0, c.waitUntil-c.now)}
}

func (c *cluster) Sizes(lease.Unit) []lease.Slots {
	var sizes []lease.Slots
	for i := range upstreams {
		sizes = append(sizes, lease.Slots{Upstream: fmt.Sprint("u", i), Count: slotsPerUpstream})
	}
	return sizes
}

func (c *cluster) holding(i int) *lease.Holding { return c.holders[i].Holding(unit) }

func (c *cluster) setWaiting(i int) { c.setWaitingCount(i, 1) }

func (c *cluster) setWaitingCount(i, waiting int) {
	c.holders[i].SetWanted(c.now, c.holding(i), waiting)
}

func (c *cluster) held(i int) int {
	sum := 0
	for _, slot := range c.holding(i).Slots {
		sum += slot.Held
	}
	return sum
}

// advance moves the clock forward, runs one tick on every host and collects the
// messages.
func (c *cluster) advance(d time.Duration) {
	c.now += d
	for _, h := range c.holders {
		h.Tick(c.now)
	}
	c.owner.Tick(c.now)
	c.collect()
}

func (c *cluster) collect() {
	for i, h := range c.holders {
		for _, outgoing := range h.Asks(c.now, true) {
			c.asks = append(c.asks, sentAsk{from: i, ask: outgoing.Ask})
		}
	}
	for _, out := range c.owner.Answers() {
		var to int
		fmt.Sscanf(out.Holder, "h%d", &to)
		c.answers = append(c.answers, sentAnswer{to: to, answer: out.Answer})
	}
}

func (c *cluster) deliverAsk(i int) {
	c.owner.Receive(c.now, fmt.Sprint("h", c.asks[i].from), c.asks[i].ask)
	c.collect()
}

func (c *cluster) deliverAnswer(i int) {
	c.holders[c.answers[i].to].Receive(c.now, "owner", c.answers[i].answer)
	c.collect()
}

// exchange delivers all messages until none is in flight.
func (c *cluster) exchange() {
	c.collect()
	for range 100 {
		if len(c.asks)+len(c.answers) == 0 {
			return
		}
		for len(c.asks) > 0 {
			c.deliverAsk(0)
			c.asks = slices.Delete(c.asks, 0, 1)
		}
		for len(c.answers) > 0 {
			c.deliverAnswer(0)
			c.answers = slices.Delete(c.answers, 0, 1)
		}
	}
	Fail("messages are still in flight after 100 rounds")
}

func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.advance(100 * time.Millisecond)
		c.exchange()
	}
}

// checkLimits verifies that no upstream has more slots held or granted than it
// has in total.
func (c *cluster) checkLimits(fail func(format string, args ...any)) {
	for u := range upstreams {
		held := 0
		for i := range c.holders {
			held += c.holding(i).Slots[u].Held
		}
		granted := 0
		if used := c.owner.GrantedByUpstream(unit); used != nil {
			granted = used[u].Count
		}
		if held > slotsPerUpstream || granted > slotsPerUpstream {
			fail("upstream %d with %d slots: %d held, %d granted", u, slotsPerUpstream, held, granted)
		}
	}
}

var _ = Describe("leases", func() {
	// Guards against requests that wait for a lease message although slots are
	// free.
	It("include a spare slot for a unit in use", func() {
		c := newCluster(2)
		c.setWaiting(0)
		c.exchange()
		Expect(c.held(0)).To(Equal(2))
		c.running[c.holding(0)][0] = 1
		c.run(500 * time.Millisecond)
		Expect(c.holding(0).Leased).To(BeTrue())
		Expect(c.held(0)).To(BeNumerically(">=", 2))
	})

	// Guards against slots that stay with a host that does not use them.
	It("return idle slots to the owner", func() {
		c := newCluster(2)
		c.setWaitingCount(0, 5)
		c.exchange()
		Expect(c.held(0)).To(Equal(6))
		c.run(12 * time.Second)
		Expect(c.held(0)).To(BeZero())
		Expect(c.holding(0).Leased).To(BeFalse())
		granted, _ := c.owner.Granted()
		Expect(granted).To(BeZero())
	})

	// Guards against a host that starves because another one took all slots
	// first.
	It("move slots towards equal shares", func() {
		c := newCluster(3)
		for i := range 3 {
			c.setWaitingCount(i, upstreams*slotsPerUpstream)
			c.exchange()
		}
		for range 50 {
			for i := range 3 {
				c.setWaitingCount(i, 5)
				c.useAllHeld(i)
			}
			c.run(100 * time.Millisecond)
		}
		for i := range 3 {
			Expect(c.held(i)).To(BeNumerically(">=", 2), "holder %d", i)
		}
	})

	// Guards against requests that wait on one host while another host with a
	// similar share has unused slots.
	It("move idle slots, but no slot in use, to a host with waiting requests", func() {
		c := newCluster(2)
		c.setWaitingCount(0, 5)
		c.exchange()
		c.setWaitingCount(1, 3)
		c.exchange()
		Expect([]int{c.held(0), c.held(1)}).To(Equal([]int{6, 3}))
		for range 20 {
			c.useAllHeld(0)
			c.useAllHeld(1)
			c.setWaitingCount(1, 1)
			c.run(100 * time.Millisecond)
		}
		used := []int{c.held(0), c.held(1)}
		Expect(used[0]-used[1]).To(BeNumerically("<=", 1), "shares are equal")
		Expect(used[0]).To(BeNumerically(">=", 4), "slots in use are not moved")
		*c.running[c.holding(0)] = [upstreams]int{}
		for range 20 {
			c.useAllHeld(1)
			c.setWaitingCount(1, 1)
			c.run(100 * time.Millisecond)
		}
		Expect(c.held(1)).To(Equal(upstreams*slotsPerUpstream), "idle slots are moved")
	})

	// Guards against an owner that still considers a host to be waiting after
	// its requests have ended, so that its idle slots are never recalled for
	// other hosts.
	It("move idle slots away from a host that withdrew its request for slots", func() {
		c := newCluster(2)
		c.setWaitingCount(0, 8)
		c.exchange()
		c.useAllHeld(0)
		c.setWaitingCount(0, 1)
		c.setWaitingCount(1, 1)
		c.exchange()
		c.holders[0].ClearWanted(c.now, c.holding(0))
		*c.running[c.holding(0)] = [upstreams]int{}
		c.run(200 * time.Millisecond)
		Expect(c.held(1)).To(BeNumerically(">=", 1))
	})

	// Guards against a host that never gets a slot when there are more hosts
	// than slots.
	It("rotate among the hosts when hosts outnumber slots", func() {
		c := newCluster(upstreams*slotsPerUpstream + 2)
		served := make(map[int]bool)
		for range 60 {
			for i := range c.holders {
				c.setWaiting(i)
				c.useAllHeld(i)
				if c.held(i) > 0 {
					served[i] = true
				}
			}
			c.run(100 * time.Millisecond)
		}
		Expect(served).To(HaveLen(len(c.holders)))
	})

	// Guards against slots that are granted twice when the holder is
	// unreachable.
	It("expire at the holder before they expire at the owner", func() {
		c := newCluster(2)
		c.setWaiting(0)
		c.exchange()
		for c.held(0) > 0 {
			c.advance(100 * time.Millisecond)
			granted, _ := c.owner.Granted()
			if c.held(0) > 0 {
				Expect(granted).To(BeNumerically(">=", c.held(0)))
			}
			c.asks, c.answers = nil, nil
		}
		Expect(c.now).To(BeNumerically("<=", time.Second+lease.MaxTerm+100*time.Millisecond))
		Expect(c.holding(0).Leased).To(BeFalse())
	})

	// Guards against a new owner that grants slots which holders of the
	// previous owner still use.
	It("are not granted while a new owner waits, and then cover the slots in use", func() {
		c := newCluster(2)
		c.waitUntil = c.now + lease.MaxTerm
		*c.running[c.holding(0)] = [upstreams]int{slotsPerUpstream, slotsPerUpstream, slotsPerUpstream}
		c.holders[0].EnsureLeased(c.now, c.holding(0))
		c.setWaiting(1)
		c.exchange()
		Expect(c.holding(0).Leased).To(BeFalse())
		Expect(c.held(1)).To(BeZero())
		c.run(lease.MaxTerm + 300*time.Millisecond)
		Expect(c.holding(0).Leased).To(BeTrue())
		Expect(c.held(0)).To(BeNumerically(">=", upstreams*slotsPerUpstream-1))
	})

	// Guards against more requests on an upstream than it has slots, whatever
	// happens to the messages between hosts. Such an excess comes about, for
	// example, when an answer is applied although the holder has given slots
	// back since.
	It("never exceed the slots while messages are lost, delayed, duplicated and reordered", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster(3)
			for range 120 {
				c.randomStep(t)
				c.checkLimits(t.Fatalf)
			}
		})
	})
})

// useAllHeld runs as many requests on a holder as its leases allow.
func (c *cluster) useAllHeld(i int) {
	for u, slot := range c.holding(i).Slots {
		c.running[c.holding(i)][u] = slot.Held
	}
	c.checkOveruse(i)
}

// randomStep performs one random operation.
func (c *cluster) randomStep(t *rapid.T) {
	i := rapid.IntRange(0, len(c.holders)-1).Draw(t, "holder")
	u := rapid.IntRange(0, upstreams-1).Draw(t, "upstream")
	running := &c.running[c.holding(i)][u]
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1:
		c.setWaiting(i)
		c.collect()
	case 2:
		*running = min(*running+1, max(c.holding(i).Slots[u].Held, 2))
	case 3:
		*running = max(0, *running-1)
		c.checkOveruse(i)
	case 4:
		c.advance(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
	case 5:
		c.dropMessage(t)
	default:
		c.deliverRandom(t)
	}
}

func (c *cluster) checkOveruse(i int) {
	c.holders[i].CheckOveruse()
	c.collect()
}

// deliverRandom delivers a random message, which may stay in flight to be
// delivered again.
func (c *cluster) deliverRandom(t *rapid.T) {
	again := rapid.IntRange(0, 4).Draw(t, "again") == 0
	if len(c.asks) > 0 && (len(c.answers) == 0 || rapid.Bool().Draw(t, "ask")) {
		i := rapid.IntRange(0, len(c.asks)-1).Draw(t, "index")
		c.deliverAsk(i)
		if !again {
			c.asks = slices.Delete(c.asks, i, i+1)
		}
		return
	}
	if len(c.answers) > 0 {
		i := rapid.IntRange(0, len(c.answers)-1).Draw(t, "index")
		c.deliverAnswer(i)
		if !again {
			c.answers = slices.Delete(c.answers, i, i+1)
		}
	}
}

func (c *cluster) dropMessage(t *rapid.T) {
	if len(c.asks) > 0 && rapid.Bool().Draw(t, "ask") {
		c.asks = c.asks[1:]
	} else if len(c.answers) > 0 {
		c.answers = c.answers[1:]
	}
}
