package warmup_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/warmup"
)

// takeAll lets each of the hosts use all of its turns of a server during a warm-up of
// 10 s, and returns the number of turns that each used.
func takeAll(domains []uint64, hosts ...*warmup.HostSet) []int {
	const (
		warmUp = 10 * time.Second
		step   = 5 * time.Millisecond
	)
	limit := warmup.Limit{Rate: 10_000, Percent: 150, Slack: 8}
	used := make([]int, len(hosts))
	for i, h := range hosts {
		server := warmup.NewServer("server/1", domains)
		for now := time.Hour; now < time.Hour+warmUp; now += step {
			server.Report(now, time.Hour+warmUp-now, true)
			for server.Permits(now, step, limit, h) {
				server.Take(now, limit, h)
				used[i]++
			}
		}
	}
	return used
}

func sum(values []int) (total int) {
	for _, value := range values {
		total += value
	}
	return total
}

var _ = Describe("A set of hosts", func() {
	const turns = 100

	// Guards against a host that takes over the turns of others which are only cut off
	// from it, and against turns that are lost for good with each replaced host.
	It("counts a host for 10 minutes after it was last seen", func() {
		h := warmup.NewHostSet("a", "x")
		h.Activate(0)
		h.Add(0, "b")
		h.Add(5*time.Minute, "c")
		h.Expire(10*time.Minute - 1)
		Expect(h.Size()).To(Equal(3))
		h.Expire(10 * time.Minute)
		Expect(h.Size()).To(Equal(2))
		Expect(takeAll([]uint64{warmup.Domain("x")}, h)[0]).To(BeNumerically("<", turns))
		h.Expire(15 * time.Minute)
		Expect(h.Size()).To(Equal(1))
		Expect(takeAll([]uint64{warmup.Domain("x")}, h)[0]).To(BeNumerically("~", turns, 1))
	})

	// Guards against turns that several failure domains use, or none.
	It("shares turns with the sets of other failure domains", func() {
		var sets []*warmup.HostSet
		var domains []uint64
		for d := range 3 {
			domain := fmt.Sprintf("domain-%d", d)
			domains = append(domains, warmup.Domain(domain))
			for i := range 5 {
				h := warmup.NewHostSet(fmt.Sprintf("entry-%d-%d", d, i), domain)
				h.Activate(0)
				for other := range 5 {
					h.Add(0, fmt.Sprintf("entry-%d-%d", d, other))
				}
				sets = append(sets, h)
			}
		}
		used := takeAll(domains, sets...)
		Expect(sum(used)).To(BeNumerically("~", turns, 1))
		for d := range 3 {
			Expect(sum(used[5*d:5*d+5])).To(BeNumerically(">", turns/6), "domain %d", d)
		}
		Expect(sum(takeAll(domains[:1], sets[5:]...))).To(BeZero())
	})

	// Guards against a failure domain of more hosts than are named to each other, whose
	// sets differ: hosts behind the first 64 would each take turns of others.
	It("is limited to the hosts that know each other", func() {
		var sets []*warmup.HostSet
		for i := range 100 {
			h := warmup.NewHostSet(fmt.Sprintf("entry-%03d", i), "x")
			h.Activate(0)
			named := 0
			for other := range 100 {
				if other != i && named < 64 {
					h.Add(0, fmt.Sprintf("entry-%03d", other))
					named++
				}
			}
			sets = append(sets, h)
		}
		Expect(sum(takeAll([]uint64{warmup.Domain("x")}, sets...))).To(BeNumerically("~", turns, 1))
	})
})

var _ = Describe("The time until the next turn", func() {
	// Guards against a Retry-After after which the caller is refused again, and against
	// a request that waits for a turn that never comes.
	It("is that of the turn, or of the end of the warm-up", func() {
		limit := warmup.Limit{Rate: 4100, Percent: 150, Slack: 8}
		h := warmup.NewHostSet("a", "x")
		h.Activate(0)
		for i := range 20 {
			h.Add(0, fmt.Sprintf("b-%d", i))
		}
		server := warmup.NewServer("server/1", []uint64{warmup.Domain("x")})
		const end = time.Hour + 10*time.Second
		for now := time.Hour; now < end; {
			server.Report(now, end-now, true)
			wait := server.Wait(now, limit, h)
			if wait == 0 {
				Expect(server.Permits(now, 0, limit, h)).To(BeTrue())
				server.Take(now, limit, h)
				continue
			}
			for at := now; at < now+wait; at += 5 * time.Millisecond {
				Expect(server.MayAsk(at, limit, h)).To(BeFalse())
			}
			now += wait
			Expect(server.MayAsk(now, limit, h)).To(BeTrue())
		}
	})
})
