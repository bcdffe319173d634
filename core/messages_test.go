package core_test

import (
	"fmt"
	"testing"
	"time"

	"wisteriapond/config"
)

// The benchmarks below measure the messages between entry hosts in virtual
// time. docs/MEASUREMENTS.md has the figures:
//
//	go test ./core -run '^$' -bench Fleet -benchtime 1x

var regions = []string{"r0", "r1", "r2", "r3"}

// largeSite is a fleet over four regions with services in all of them. It
// starts a host every 20 ms.
func newLargeSite(hosts, services, upstreams int) (*site, []*config.Service) {
	w := newSite(hosts)
	for i, h := range w.hosts {
		h.region = regions[i%len(regions)]
	}
	w.delay = 8 * time.Millisecond
	var list []*config.Service
	for i := range services {
		s := service(fmt.Sprintf("service-%04d", i), upstreams)
		s.Timeout += time.Duration(i) * time.Millisecond
		s.Probe.Path = ""
		for j := range s.Upstreams {
			s.Upstreams[j].Region = regions[j%len(regions)]
			s.Upstreams[j].Host = fmt.Sprintf("backend-%d-%d", i, j)
		}
		list = append(list, s)
	}
	w.publish(1, list...)
	for _, h := range w.hosts {
		w.start(h)
		w.run(20 * time.Millisecond)
	}
	// The news of the starts are passed on for this long.
	w.run(30*time.Second + time.Duration(hosts)*2*time.Second)
	return w, list
}

// measureFor runs the site and reports messages and bytes per host and second.
func (w *site) measureFor(b *testing.B, d time.Duration, label string, each ...func()) {
	w.measure, w.sent, w.bytes, w.inSteps = true, 0, 0, 0
	clear(w.received)
	w.run(d, each...)
	w.measure = false
	perHost := float64(len(w.hosts)) * d.Seconds()
	most := 0
	for _, bytes := range w.received {
		most = max(most, bytes)
	}
	b.ReportMetric(float64(w.sent)/perHost, label+"-msg/host/s")
	b.ReportMetric(float64(w.bytes)/perHost, label+"-B/host/s")
	b.ReportMetric(float64(most)/d.Seconds(), label+"-B/s-most-received")
	b.ReportMetric(100*w.inSteps.Seconds()/perHost, label+"-%core/host")
}

// BenchmarkFleet measures a fleet at rest, one in which every host uses every
// service, a change of one service, and the restart of a host.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{4, 16, 64, 256} {
		b.Run(fmt.Sprint(hosts, "-hosts"), func(b *testing.B) {
			for range b.N {
				benchmarkFleet(b, hosts)
			}
		})
	}
}

func benchmarkFleet(b *testing.B, hosts int) {
	const services = 64
	w, list := newLargeSite(hosts, services, 16)
	w.measureFor(b, 20*time.Second, "rest")
	w.measureChange(b, list)
	w.measureRestart(b)
	w.measureLeases(b, list, 30*time.Millisecond)
	if hosts <= 64 {
		// The check that all hosts agree takes too long in larger fleets.
		w.measureHostFailure(b, list)
	}
}

// measureDeath reports how long it takes until all hosts know that one is gone,
// and until no unit in use relies on own counts any more.
func (w *site) measureHostFailure(b *testing.B, list []*config.Service) {
	gone := w.hosts[len(w.hosts)-1]
	gone.off = true
	begin := w.now
	load := w.requestsInTurn(list)
	var known, leased time.Duration
	for leased == 0 && w.now.Sub(begin) < 2*time.Minute {
		w.run(100*time.Millisecond, load)
		if known == 0 && w.membersAgree() {
			known = w.now.Sub(begin)
		}
		if known > 0 && w.unitsOnOwnCounts() == 0 {
			leased = w.now.Sub(begin)
		}
	}
	b.ReportMetric(known.Seconds()*1000, "death-ms-known")
	b.ReportMetric(leased.Seconds()*1000, "death-ms-leased")
}

// requestsInTurn sends each running host a request, over all services in turn.
func (w *site) requestsInTurn(list []*config.Service) func() {
	turn := 0
	return func() {
		turn++
		for i, h := range w.live() {
			w.request(h, "GET", "/"+list[(turn+7*i)%len(list)].Name)
		}
	}
}

// onOwnCounts returns the number of units in use without a lease.
func (w *site) unitsOnOwnCounts() int {
	count := 0
	for _, h := range w.live() {
		count += w.status(h).Leases.OwnCounts
	}
	return count
}

// useServices sends each host 100 requests a second, in bursts and over all
// services in turn, and reports what the leases cost.
func (w *site) measureLeases(b *testing.B, list []*config.Service, serve time.Duration) {
	w.serve = serve
	load := w.requestsInTurn(list)
	w.run(3*time.Second, load)
	w.measureFor(b, 10*time.Second, "leases", load)
	held := 0
	for _, h := range w.hosts {
		held += w.status(h).Leases.Held
	}
	b.ReportMetric(float64(held)/float64(len(w.hosts)), "held/host")
	b.ReportMetric(float64(w.unitsOnOwnCounts())/float64(len(w.hosts)), "own-counts/host")
}

// measureChange reports what a change of one service costs beyond rest.
func (w *site) measureChange(b *testing.B, list []*config.Service) {
	w.measure, w.sent, w.bytes = true, 0, 0
	w.run(5 * time.Second)
	rest := w.bytes
	w.bytes = 0
	list[0].Timeout += time.Hour / 2
	begin := w.now
	version := w.publish(2, list...)
	var took time.Duration
	for w.countInForce(version) < len(w.hosts) && w.now.Sub(begin) < 20*time.Second {
		w.run(tick)
	}
	took = w.now.Sub(begin)
	w.run(5*time.Second - took)
	w.measure = false
	b.ReportMetric(took.Seconds()*1000, "change-ms-everywhere")
	b.ReportMetric(float64(w.bytes-rest)/float64(len(w.hosts)), "change-B/host")
}

// measureRestart reports what the restart of a host costs beyond rest.
func (w *site) measureRestart(b *testing.B) {
	w.measure, w.bytes = true, 0
	w.run(5 * time.Second)
	rest := w.bytes
	w.bytes = 0
	h := w.hosts[len(w.hosts)-1]
	begin, read := w.now, w.counted["part_requests_total/service"]
	w.start(h)
	for !h.ready && w.now.Sub(begin) < 20*time.Second {
		w.run(tick)
	}
	took := w.now.Sub(begin)
	w.run(max(0, 5*time.Second-took))
	w.measure = false
	reads := w.counted["part_requests_total/service"] - read
	b.ReportMetric(float64(reads), "restart-part-reads")
	b.ReportMetric(took.Seconds()*1000, "restart-ms-ready")
	b.ReportMetric(float64(w.bytes-rest)/1000, "restart-kB")
}

// BenchmarkFleetFull measures a change and a restart with the services and
// upstreams expected in two years, in a fleet of four hosts.
func BenchmarkFleetFull(b *testing.B) {
	for range b.N {
		w, list := newLargeSite(4, 1500, 25)
		w.measureChange(b, list)
		w.measureRestart(b)
	}
}
