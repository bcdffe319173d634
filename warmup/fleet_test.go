package warmup_test

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/warmup"
)

// fleetHost is an entry host of a simulated fleet.
type fleetHost struct {
	name    string
	domain  int
	hosts   *warmup.HostSet
	servers []*warmup.Server
	// perSecond is the rate of the requests that it receives.
	perSecond float64
	next      time.Duration
}

// coldServer is a backend server of a simulated fleet.
type coldServer struct {
	name   string
	domain int
	// coldAt and warmAt are the ends of its warm-up.
	coldAt, warmAt time.Duration
	// down is set if it does not respond before.
	down     bool
	arrivals []time.Duration
}

// fleet simulates entry hosts that place requests on servers, with load queries
// and requests that are under way for up to maxDelay.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	limit   warmup.Limit
	domains []uint64
	hosts   []*fleetHost
	servers []*coldServer
	// reuseReports makes hosts rely on reports up to reportAge, instead of asking
	// before each request.
	reuseReports bool
	reportAge    time.Duration
}

const (
	fleetHosts   = 115
	fleetDomains = 6
	// maxDelay bounds the one-way delay between regions, with the time that a busy
	// host takes.
	maxDelay = 20 * time.Millisecond
	// fleetStep is the resolution of the simulated clock.
	fleetStep = time.Millisecond
)

// newFleet returns a fleet of fleetHosts hosts whose traffic differs, and servers of
// domain 0. All hosts have known each other for long.
func newFleet(seed int64, servers int, limit warmup.Limit) *fleet {
	f := &fleet{random: rand.New(rand.NewSource(seed)), limit: limit, now: time.Minute, reportAge: 20 * time.Millisecond}
	for d := range fleetDomains {
		f.domains = append(f.domains, warmup.Domain(domainName(d)))
	}
	for i := range servers {
		f.servers = append(f.servers, &coldServer{name: fmt.Sprintf("server-%d/1", i)})
	}
	for i := range fleetHosts {
		f.hosts = append(f.hosts, &fleetHost{name: fmt.Sprintf("entry-%d", i), domain: i % fleetDomains})
	}
	for _, h := range f.hosts {
		f.start(h, func(*fleetHost) bool { return true })
		h.hosts.Activate(0)
	}
	return f
}

func domainName(d int) string { return fmt.Sprintf("domain-%d", d) }

// start gives a host the state of a new process, which knows the given hosts.
func (f *fleet) start(h *fleetHost, knows func(*fleetHost) bool) {
	h.hosts = warmup.NewHostSet(h.name, domainName(h.domain))
	for _, other := range f.hosts {
		if other != h && other.domain == h.domain && knows(other) {
			h.hosts.Add(f.now, other.name)
		}
	}
	h.servers = nil
	for _, server := range f.servers {
		h.servers = append(h.servers, warmup.NewServer(server.name, f.domains[server.domain:server.domain+1]))
	}
}

// distribute gives each host a part of the requests, with a lognormal distribution:
// the busiest host of a domain receives some times the mean.
func (f *fleet) distribute(perSecond float64) {
	total := 0.0
	for _, h := range f.hosts {
		h.perSecond = math.Exp(0.6 * f.random.NormFloat64())
		total += h.perSecond
	}
	for _, h := range f.hosts {
		h.perSecond *= perSecond / total
		h.next = f.now + f.interarrival(h)
	}
}

func (f *fleet) interarrival(h *fleetHost) time.Duration {
	return time.Duration(f.random.ExpFloat64() / h.perSecond * float64(time.Second))
}

func (f *fleet) delay() time.Duration { return time.Duration(f.random.Int63n(int64(maxDelay))) }

// turnCold makes all servers cold from now on for the given time.
func (f *fleet) turnCold(coldFor time.Duration) {
	for _, server := range f.servers {
		server.coldAt, server.warmAt = f.now, f.now+coldFor
		server.arrivals, server.down = nil, !f.reuseReports
	}
}

// run lets the hosts place requests for the given time.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += fleetStep {
		for _, h := range f.hosts {
			for h.next <= f.now {
				f.place(h)
				h.next += f.interarrival(h)
			}
		}
	}
}

// place sends a request of a host to a random server that permits it, if there is
// one.
func (f *fleet) place(h *fleetHost) {
	first := f.random.Intn(len(f.servers))
	for i := range f.servers {
		n := (first + i) % len(f.servers)
		server, state := f.servers[n], h.servers[n]
		reused := f.reuseReports && state.Permits(f.now, f.reportAge, f.limit, h.hosts)
		if !reused {
			if !state.MayAsk(f.now, f.limit, h.hosts) {
				continue
			}
			askedAt := f.now - f.delay()
			if server.down && askedAt < server.coldAt {
				continue
			}
			state.Report(f.now, server.left(askedAt), true)
		}
		if state.Permits(f.now, f.reportAge, f.limit, h.hosts) {
			state.Take(f.now, f.limit, h.hosts)
			server.arrivals = append(server.arrivals, f.now+f.delay())
			return
		}
	}
}

// left returns the remaining warm-up time that a server reports.
func (s *coldServer) left(at time.Duration) time.Duration {
	if at < s.coldAt {
		return 0
	}
	return s.warmAt - at
}

// coldArrivals returns the arrivals of a server while it was cold, in order.
func (s *coldServer) coldArrivals() []time.Duration {
	arrivals := slices.DeleteFunc(slices.Clone(s.arrivals), func(at time.Duration) bool { return at < s.coldAt || at >= s.warmAt })
	slices.Sort(arrivals)
	return arrivals
}

// mostInSecond returns the largest number of arrivals in any second.
func mostInSecond(arrivals []time.Duration) int {
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last]-arrivals[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// figures returns the largest number of arrivals at any cold server in any second,
// and the used part of the rate of all cold servers.
func (f *fleet) figures() (most int, used float64) {
	arrived, borne := 0, 0.0
	for _, server := range f.servers {
		arrivals := server.coldArrivals()
		most = max(most, mostInSecond(arrivals))
		arrived += len(arrivals)
		borne += float64(f.limit.Rate) / 1000 * (min(f.now, server.warmAt) - server.coldAt).Seconds()
	}
	return most, float64(arrived) / borne
}

// bound returns the number of requests that a cold server bears in any second.
func bound(l warmup.Limit) int { return (l.Rate*l.Percent/100 + l.Slack*1000) / 1000 }

// The load of the large site: 54 servers of one failure domain that bear 4.1
// requests a second each come back cold at once, beside 115 entry hosts.
var _ = Describe("54 servers that come back cold at once beside 115 hosts", func() {
	const (
		servers  = 54
		warmTime = 3 * time.Second
		seeds    = 5
	)
	limit := warmup.Limit{Rate: 4100, Percent: 150, Slack: 8}

	// The hosts of a domain together get a sixth of the requests: 200 a second are
	// fewer than the servers bear, 10,000 a second are many times more.
	for _, perSecond := range []float64{840, 10_000} {
		It(fmt.Sprintf("get no more than they bear of %.0f requests a second, and what they bear where there is enough", perSecond), func() {
			for seed := range int64(seeds) {
				f := newFleet(seed, servers, limit)
				f.distribute(perSecond)
				f.turnCold(warmTime)
				f.run(warmTime)
				most, used := f.figures()
				GinkgoWriter.Printf("%.0f requests a second, seed %d: at most %d arrivals in a second at a server, %.2f of the rate used\n", perSecond, seed, most, used)
				Expect(most).To(BeNumerically("<=", bound(limit)))
				domainDemand := perSecond / fleetDomains / (servers * 4.1)
				Expect(used).To(BeNumerically(">=", 0.7*min(1, domainDemand)))
			}
		})
	}

	// Guards against a fresh burst of each restarted host, and against hosts that know
	// nobody and take all turns.
	It("get no more when half of the hosts restart in that second", func() {
		for seed := range int64(seeds) {
			f := newFleet(seed, servers, limit)
			f.distribute(10_000)
			f.turnCold(warmTime)
			f.run(time.Second)
			for i, h := range f.hosts {
				if i/fleetDomains%2 == 0 {
					f.start(h, func(*fleetHost) bool { return false })
				}
			}
			f.run(warmTime - time.Second)
			most, used := f.figures()
			GinkgoWriter.Printf("half of the hosts restart, seed %d: at most %d arrivals in a second at a server, %.2f of the rate used\n", seed, most, used)
			Expect(most).To(BeNumerically("<=", bound(limit)))
			Expect(used).To(BeNumerically(">=", 0.5))
		}
	})

	// Guards against hosts that differ in which others they know: each lacks one in
	// ten of them, and remembers two that are gone.
	It("get no more when hosts know slightly different fleets", func() {
		for seed := range int64(seeds) {
			f := newFleet(seed, servers, limit)
			for _, h := range f.hosts {
				f.start(h, func(*fleetHost) bool { return f.random.Intn(10) > 0 })
				for i := range 2 {
					h.hosts.Add(f.now, fmt.Sprintf("gone-%d", (i+f.random.Intn(9))%10))
				}
				h.hosts.Activate(0)
			}
			f.distribute(10_000)
			f.turnCold(warmTime)
			f.run(warmTime)
			most, used := f.figures()
			GinkgoWriter.Printf("slightly different fleets, seed %d: at most %d arrivals in a second at a server, %.2f of the rate used\n", seed, most, used)
			Expect(most).To(BeNumerically("<=", bound(limit)))
			Expect(used).To(BeNumerically(">=", 0.7))
		}
	})

	// Guards against two halves of a failure domain that each take all turns, since
	// neither has known the other within the memory of its hosts, and against turns
	// that are saved up while no requests come.
	It("get no more when each half of the hosts believes that it is all", func() {
		for seed := range int64(seeds) {
			f := newFleet(seed, servers, limit)
			for i, h := range f.hosts {
				f.start(h, func(other *fleetHost) bool {
					return i/fleetDomains%2 == slices.Index(f.hosts, other)/fleetDomains%2
				})
				h.hosts.Activate(0)
			}
			f.distribute(10_000)
			f.turnCold(warmTime)
			f.run(warmTime / 3)
			f.now += warmTime / 3
			f.distribute(10_000)
			f.run(warmTime / 3)
			most, used := f.figures()
			GinkgoWriter.Printf("two halves, seed %d: at most %d arrivals in a second at a server, %.2f of the rate used\n", seed, most, used)
			Expect(most).To(BeNumerically("<=", bound(limit)))
		}
	})

	// Guards against hosts that go on sending to servers which they know as warm. The
	// servers run up to 4 requests of 0.2 s at once, so that 20 a second reach them.
	It("get no more when they turn cold without notice", func() {
		for seed := range int64(seeds) {
			f := newFleet(seed, servers, limit)
			f.reuseReports = true
			f.reportAge = limit.ReportAge(4, 200*time.Millisecond, 20*time.Millisecond, 400*time.Millisecond)
			f.distribute(20 * servers)
			f.run(time.Second)
			f.turnCold(warmTime)
			f.run(warmTime)
			most, used := f.figures()
			GinkgoWriter.Printf("cold without notice, seed %d: at most %d arrivals in a second at a server, %.2f of the rate used\n", seed, most, used)
			Expect(most).To(BeNumerically("<=", bound(limit)))
		}
	})
})
