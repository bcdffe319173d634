// Package metrics keeps the counters and histograms of one process and writes
// them in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

const prefix = "wisteriapond_"

// Outcomes of requests, in the label of the latency histogram.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

// noService labels requests that belong to no service.
const noService = "none"

type counterKey struct {
	counter core.Counter
	label   string
}

type requestKey struct {
	service string
	outcome string
}

// Set is the metrics of one process. Several can live in one test.
type Set struct {
	set  *vm.Set
	step *vm.Histogram

	// The maps spare the control goroutine the formatting of series names.
	mu       sync.RWMutex
	counters map[counterKey]*vm.Counter
	requests map[requestKey]*vm.Histogram
}

// New returns a set in which every refusal and failure reason stands at zero,
// so that rates can be computed from the first event on.
func New() *Set {
	s := &Set{
		set:      vm.NewSet(),
		counters: make(map[counterKey]*vm.Counter),
		requests: make(map[requestKey]*vm.Histogram),
	}
	s.step = s.set.NewHistogram(prefix + stepSeconds)
	for _, reason := range outcome.Refusals() {
		s.Add(core.CounterRefusals, string(reason), 0)
	}
	for _, reason := range outcome.Failures() {
		s.Add(core.CounterFailures, string(reason), 0)
	}
	for _, reason := range outcome.Retries() {
		s.Add(core.CounterRetries, string(reason), 0)
	}
	for _, reason := range outcome.WithheldReasons() {
		s.Add(core.CounterRetriesWithheld, string(reason), 0)
	}
	return s
}

// Add adds to a counter.
func (s *Set) Add(counter core.Counter, label string, n int64) {
	key := counterKey{counter: counter, label: label}
	s.mu.RLock()
	series := s.counters[key]
	s.mu.RUnlock()
	if series == nil {
		series = s.set.GetOrCreateCounter(seriesName(counter, label))
		s.mu.Lock()
		s.counters[key] = series
		s.mu.Unlock()
	}
	series.AddInt64(n)
}

// Gauge registers a gauge that is read when the metrics are written.
func (s *Set) Gauge(name string, read func() float64) {
	s.set.NewGauge(prefix+name, read)
}

// ObserveRequest records the latency of a request. The service is empty for a
// request that belongs to none.
func (s *Set) ObserveRequest(service, outcome string, took time.Duration) {
	if service == "" {
		service = noService
	}
	key := requestKey{service: service, outcome: outcome}
	s.mu.RLock()
	series := s.requests[key]
	s.mu.RUnlock()
	if series == nil {
		name := fmt.Sprintf("%s%s{service=%q,outcome=%q}", prefix, requestSeconds, service, outcome)
		series = s.set.GetOrCreateHistogram(name)
		s.mu.Lock()
		s.requests[key] = series
		s.mu.Unlock()
	}
	series.Update(took.Seconds())
}

// ObserveStep records the time of one step of the control goroutine.
func (s *Set) ObserveStep(took time.Duration) {
	s.step.Update(took.Seconds())
}

// Write writes the metrics of the set and of the process.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}

func seriesName(counter core.Counter, label string) string {
	name, ok := labelNames[counter]
	if !ok || label == "" {
		return prefix + string(counter)
	}
	return fmt.Sprintf("%s%s{%s=%q}", prefix, counter, name, label)
}

// labelNames gives the one label of each counter that has one.
var labelNames = counterLabels()

func counterLabels() map[core.Counter]string {
	names := make(map[core.Counter]string)
	for _, d := range descriptions {
		if d.Kind == KindCounter && len(d.Labels) == 1 {
			names[core.Counter(d.Name)] = d.Labels[0]
		}
	}
	return names
}
