package core

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// upstreamsPerService is the number of upstreams of a full service.
const upstreamsPerService = 25

// newSizedState returns a reducer with the given number of upstreams, in services
// of up to 25 upstreams each.
func newSizedState(upstreams int) (s *State, services int) {
	s = New()
	var effects Effects
	s.Step(0, Start{Region: "mtl", FailureDomain: "mtl-a", Seed: 1}, &effects)
	services = (upstreams + upstreamsPerService - 1) / upstreamsPerService
	manifest := &config.Manifest{Generation: 1, EntryHosts: 15, Links: config.Links{LongPercent: 50}}
	for i := range services {
		hash := config.Hash(fmt.Sprintf("%064d", i))
		manifest.Services = append(manifest.Services, config.ServiceRef{Name: fmt.Sprintf("s%04d", i), Hash: hash})
	}
	s.Step(0, ManifestRead{Version: config.Version{Generation: 1}, Manifest: manifest}, &effects)
	for i, ref := range manifest.Services {
		s.Step(0, PartRead{Hash: ref.Hash, Service: sizedService(i, min(upstreamsPerService, upstreams))}, &effects)
	}
	return s, services
}

// sizedService returns the service of the given number with the given number of
// upstreams.
func sizedService(number, upstreams int) *config.Service {
	part := &config.Service{
		Name:      fmt.Sprintf("s%04d", number),
		Match:     []config.Match{{PathPrefix: fmt.Sprintf("/s%04d/", number)}},
		Labels:    []config.LabelRule{{Label: "tier", FromHeader: "x-tier"}},
		Selectors: []config.SelectorRule{{When: "tier=gold", Hosts: "region in (mtl,qc)"}},
		Timeout:   10 * time.Second,
		Queue:     128,
	}
	for i := range upstreams {
		u := upstreamNamed(fmt.Sprintf("s%04d-%02d", number, i), 4)
		u.FailureDomain = []string{"mtl-a", "mtl-b"}[i%2]
		part.Upstreams = append(part.Upstreams, u)
	}
	return part
}

// decisionRunner makes both decisions on a request: the start and the end of its
// only attempt. The events are converted to interface values beforehand, as in the
// runtime.
type decisionRunner struct {
	state   *State
	effects Effects
	arrived []Event
	at      Instant
}

// newDecisionRunner returns a runner with one request for each service.
func newDecisionRunner(upstreams int) *decisionRunner {
	s, services := newSizedState(upstreams)
	d := &decisionRunner{state: s}
	for i := range services {
		d.arrived = append(d.arrived, RequestArrived{ID: 1, BodyKept: true, Request: config.Request{
			Method: "GET", Host: "shop.example", Path: fmt.Sprintf("/s%04d/urn-7", i),
			Headers: []config.Header{{Name: "x-tier", Value: "gold"}},
		}})
	}
	return d
}

// finished ends the only attempt of a request successfully.
var finished Event = AttemptFinished{Attempt: AttemptID{Request: 1, Number: 1}, Facts: outcome.Facts{Wrote: true, Status: 200, Load: 1}}

// run makes both decisions on a request to the i-th service, in turn.
func (d *decisionRunner) run(i int) {
	d.at = d.at.Add(time.Millisecond)
	d.state.Step(d.at, d.arrived[i%len(d.arrived)], &d.effects)
	d.effects.Reset()
	d.at = d.at.Add(time.Millisecond)
	d.state.Step(d.at, finished, &d.effects)
	d.effects.Reset()
}

// maxAllocationsPerRequest follows from the target of about a microsecond per
// decision. An allocation costs about 50 ns including its share of garbage
// collection, and may take up to half of the time of the two decisions on a
// request: 20 allocations.
const maxAllocationsPerRequest = 20

// Guards against decisions whose allocations grow with the number of upstreams or
// services.
var _ = ginkgo.Describe("a decision", func() {
	ginkgo.It("makes a bounded number of allocations for any number of services", func() {
		for _, upstreams := range []int{50, 1000, 37_000} {
			d := newDecisionRunner(upstreams)
			n := 0
			for range 2 * len(d.arrived) {
				d.run(n)
				n++
			}
			allocations := testing.AllocsPerRun(1000, func() { d.run(n); n++ })
			ginkgo.GinkgoWriter.Println(upstreams, "upstreams:", allocations, "allocations per request")
			Expect(allocations).To(BeNumerically("<=", maxAllocationsPerRequest))
		}
	})
})

// BenchmarkRequest measures the two decisions on a request.
func BenchmarkRequest(b *testing.B) {
	for _, upstreams := range []int{50, 1000, 37_000} {
		b.Run(fmt.Sprint(upstreams, "-upstreams"), func(b *testing.B) {
			d := newDecisionRunner(upstreams)
			for i := range 2 * len(d.arrived) {
				d.run(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.run(i)
			}
		})
	}
}

// BenchmarkState measures the memory of the control state per upstream, the time
// of one Tick without load, and the time to apply a complete configuration.
func BenchmarkState(b *testing.B) {
	for _, upstreams := range []int{1000, 10_000, 37_000} {
		b.Run(fmt.Sprint(upstreams, "-upstreams"), func(b *testing.B) {
			before := heapInUse()
			start := time.Now()
			d := newDecisionRunner(upstreams)
			took := time.Since(start)
			for i := range d.arrived {
				d.run(i)
			}
			d.arrived = nil
			memory := heapInUse() - before
			for b.Loop() {
				d.at = d.at.Add(TickInterval)
				d.state.Step(d.at, Tick{}, &d.effects)
				d.effects.Reset()
			}
			b.ReportMetric(float64(memory)/float64(upstreams), "B/upstream")
			b.ReportMetric(took.Seconds()*1e6/float64(upstreams), "apply-µs/upstream")
		})
	}
}

// BenchmarkChange measures the time for which applying a change of one service
// occupies the control goroutine.
func BenchmarkChange(b *testing.B) {
	for _, upstreams := range []int{1000, 10_000, 37_000} {
		b.Run(fmt.Sprint(upstreams, "-upstreams"), func(b *testing.B) {
			s, _ := newSizedState(upstreams)
			var effects Effects
			for generation := uint64(2); b.Loop(); generation++ {
				manifest := *s.table.Manifest
				manifest.Generation = generation
				manifest.Services = slices.Clone(manifest.Services)
				manifest.Services[0].Hash = config.Hash(fmt.Sprintf("%064x", generation<<32))
				s.Step(0, ManifestRead{Version: config.Version{Generation: generation}, Manifest: &manifest}, &effects)
				s.Step(0, PartRead{Hash: manifest.Services[0].Hash, Service: sizedService(0, upstreamsPerService)}, &effects)
				effects.Reset()
			}
			if s.table.Version.Generation == 1 {
				b.Fatal("no configuration change was applied")
			}
		})
	}
}

// heapInUse returns the number of bytes in live heap objects.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkPick measures upstream selection alone, among 25 upstreams with free
// slots.
func BenchmarkPick(b *testing.B) {
	RegisterTestingT(b)
	d := newDecisionRunner(25)
	d.run(0)
	svc := d.state.services["s0000"]
	r := &request{service: svc, group: svc.groups.byLabels[svc.groups.keys[0]], idempotent: true, bodyKept: true}
	for b.Loop() {
		d.state.chooseUpstream(r)
	}
}
