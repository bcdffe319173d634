package core_test

import (
	"fmt"
	"testing"
	"time"

	"wisteriapond/config"
)

// The benchmarks below measure the messages between entry hosts in virtual time.
// Their figures are in docs/MEASUREMENTS.md. Run them with
//
//	go test ./core -run '^$' -bench Fleet -benchtime 1x

// regions are the regions of large deployments.
var regions = []string{"r0", "r1", "r2", "r3"}

// newLargeDeployment returns a running fleet in four regions, with services in all of
// them. It starts one host every 20 ms and waits until the member updates have spread.
func newLargeDeployment(hosts, services, upstreams int) (*deployment, []*config.Service) {
	d := newDeployment(hosts)
	for i, h := range d.hosts {
		h.region = regions[i%len(regions)]
	}
	d.delay = 8 * time.Millisecond
	var list []*config.Service
	for i := range services {
		s := newService(fmt.Sprintf("service-%04d", i), upstreams)
		s.Timeout += time.Duration(i) * time.Millisecond
		s.Probe.Path = ""
		for j := range s.Upstreams {
			s.Upstreams[j].Region = regions[j%len(regions)]
			s.Upstreams[j].Host = fmt.Sprintf("backend-%d-%d", i, j)
		}
		list = append(list, s)
	}
	d.publish(1, list...)
	for _, h := range d.hosts {
		d.start(h)
		d.run(20 * time.Millisecond)
	}
	// The hosts propagate the member updates of the starts for this long.
	d.run(30*time.Second + time.Duration(hosts)*2*time.Second)
	return d, list
}

// measureFor runs the fleet for the given time and reports messages and bytes per
// host and second, the most bytes per second that one host received, and the time
// spent in the reducer.
func (d *deployment) measureFor(b *testing.B, duration time.Duration, label string, each ...func()) {
	d.measuring, d.sent, d.bytes, d.stepTime = true, 0, 0, 0
	clear(d.received)
	d.run(duration, each...)
	d.measuring = false
	perHost := float64(len(d.hosts)) * duration.Seconds()
	most := 0
	for _, bytes := range d.received {
		most = max(most, bytes)
	}
	b.ReportMetric(float64(d.sent)/perHost, label+"-msg/host/s")
	b.ReportMetric(float64(d.bytes)/perHost, label+"-B/host/s")
	b.ReportMetric(float64(most)/duration.Seconds(), label+"-B/s-most-received")
	b.ReportMetric(100*d.stepTime.Seconds()/perHost, label+"-%core/host")
}

// BenchmarkFleet measures an idle fleet, a change of one service, the restart of a
// host, a fleet in which every host uses every service, and, with up to 64 hosts,
// the failure of a host.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{4, 16, 64, 256} {
		b.Run(fmt.Sprint(hosts, "-hosts"), func(b *testing.B) {
			for range b.N {
				benchmarkFleet(b, hosts)
			}
		})
	}
}

// benchmarkFleet makes the measurements of BenchmarkFleet on one fleet.
func benchmarkFleet(b *testing.B, hosts int) {
	const services = 64
	d, list := newLargeDeployment(hosts, services, 16)
	d.measureFor(b, 20*time.Second, "rest")
	d.measureChange(b, list)
	d.measureRestart(b)
	d.measureLeases(b, list, 30*time.Millisecond)
	if hosts <= 64 {
		// The check that all hosts agree takes too long in larger fleets.
		d.measureHostFailure(b, list)
	}
}

// measureHostFailure reports how long it takes until all hosts have detected the
// failure of one host, and until no unit in use relies on own counts any more.
func (d *deployment) measureHostFailure(b *testing.B, list []*config.Service) {
	failed := d.hosts[len(d.hosts)-1]
	failed.stopped = true
	failedAt := d.now
	load := d.requestsInTurn(list)
	var detected, leased time.Duration
	for leased == 0 && d.now.Sub(failedAt) < 2*time.Minute {
		d.run(100*time.Millisecond, load)
		if detected == 0 && d.membersAgree() {
			detected = d.now.Sub(failedAt)
		}
		if detected > 0 && d.unitsOnOwnCounts() == 0 {
			leased = d.now.Sub(failedAt)
		}
	}
	b.ReportMetric(detected.Seconds()*1000, "death-ms-known")
	b.ReportMetric(leased.Seconds()*1000, "death-ms-leased")
}

// requestsInTurn returns a function that sends one request to each running host.
// Successive requests of a host go to successive services.
func (d *deployment) requestsInTurn(list []*config.Service) func() {
	turn := 0
	return func() {
		turn++
		for i, h := range d.liveHosts() {
			d.request(h, "GET", "/"+list[(turn+7*i)%len(list)].Name)
		}
	}
}

// unitsOnOwnCounts returns the number of units in use without a lease, summed over
// all running hosts.
func (d *deployment) unitsOnOwnCounts() int {
	count := 0
	for _, h := range d.liveHosts() {
		count += d.status(h).Leases.OwnCounts
	}
	return count
}

// measureLeases sends 100 requests per second to each host, in bursts of one request to
// every host and to all services in turn, and reports the cost of the leases.
func (d *deployment) measureLeases(b *testing.B, list []*config.Service, serviceTime time.Duration) {
	d.serviceTime = serviceTime
	load := d.requestsInTurn(list)
	d.run(3*time.Second, load)
	d.measureFor(b, 10*time.Second, "leases", load)
	held := 0
	for _, h := range d.hosts {
		held += d.status(h).Leases.Held
	}
	b.ReportMetric(float64(held)/float64(len(d.hosts)), "held/host")
	b.ReportMetric(float64(d.unitsOnOwnCounts())/float64(len(d.hosts)), "own-counts/host")
}

// measureChange reports how long a change of one service takes to reach all hosts
// and how many bytes it adds to those of an idle fleet.
func (d *deployment) measureChange(b *testing.B, list []*config.Service) {
	d.measuring, d.sent, d.bytes = true, 0, 0
	d.run(5 * time.Second)
	idleBytes := d.bytes
	d.bytes = 0
	list[0].Timeout += time.Hour / 2
	startedAt := d.now
	version := d.publish(2, list...)
	var took time.Duration
	for d.countInForce(version) < len(d.hosts) && d.now.Sub(startedAt) < 20*time.Second {
		d.run(clockStep)
	}
	took = d.now.Sub(startedAt)
	d.run(5*time.Second - took)
	d.measuring = false
	b.ReportMetric(took.Seconds()*1000, "change-ms-everywhere")
	b.ReportMetric(float64(d.bytes-idleBytes)/float64(len(d.hosts)), "change-B/host")
}

// measureRestart reports how long a host takes to become ready after a restart,
// and the part reads and bytes that the restart adds to those of an idle fleet.
func (d *deployment) measureRestart(b *testing.B) {
	d.measuring, d.bytes = true, 0
	d.run(5 * time.Second)
	idleBytes := d.bytes
	d.bytes = 0
	h := d.hosts[len(d.hosts)-1]
	startedAt, read := d.now, d.counters["part_requests_total/service"]
	d.start(h)
	for !h.ready && d.now.Sub(startedAt) < 20*time.Second {
		d.run(clockStep)
	}
	took := d.now.Sub(startedAt)
	d.run(max(0, 5*time.Second-took))
	d.measuring = false
	reads := d.counters["part_requests_total/service"] - read
	b.ReportMetric(float64(reads), "restart-part-reads")
	b.ReportMetric(took.Seconds()*1000, "restart-ms-ready")
	b.ReportMetric(float64(d.bytes-idleBytes)/1000, "restart-kB")
}

// BenchmarkFleetFull measures a change and a restart in a fleet of four hosts, with
// the number of services and upstreams expected in two years.
func BenchmarkFleetFull(b *testing.B) {
	for range b.N {
		d, list := newLargeDeployment(4, 1500, 25)
		d.measureChange(b, list)
		d.measureRestart(b)
	}
}
