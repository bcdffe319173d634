// Package metrics holds the counters, histograms and gauges of an entry host and
// writes them in the Prometheus text format.
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

const namePrefix = "wisteriapond_"

// Outcomes of requests, as values of the label "outcome" of the request histogram.
const (
	OutcomeResponded = "answered"
	OutcomeNotRun    = "not_run"
	OutcomeUnknown   = "unknown"
)

// noService is the value of the label "service" for requests that match no service.
const noService = "none"

type counterKey struct {
	counter core.Counter
	label   string
}

type requestKey struct {
	service string
	outcome string
}

// Set holds the metrics of one entry host. Sets are independent of each other, so a
// test can run several entry hosts in one process.
type Set struct {
	set  *vm.Set
	step *vm.Histogram

	// The maps cache the series, so that the control goroutine does not format
	// their names each time.
	mu       sync.RWMutex
	counters map[counterKey]*vm.Counter
	requests map[requestKey]*vm.Histogram
}

// New returns a set in which the counters of all reasons of refusals, failures,
// retries and withheld retries exist with the value zero, so that rates can be
// computed from the first event on.
func New() *Set {
	s := &Set{
		set:      vm.NewSet(),
		counters: make(map[counterKey]*vm.Counter),
		requests: make(map[requestKey]*vm.Histogram),
	}
	s.step = s.set.NewHistogram(namePrefix + stepSeconds)
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

// Add adds n to the series of a counter with the given label value. The label is
// ignored for a counter without a label.
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

// Gauge registers a gauge. Its value is read whenever the metrics are written.
func (s *Set) Gauge(name string, read func() float64) {
	s.set.NewGauge(namePrefix+name, read)
}

// ObserveRequest records the latency of a request. The service is empty for a
// request that matches no service.
func (s *Set) ObserveRequest(service, outcome string, duration time.Duration) {
	if service == "" {
		service = noService
	}
	key := requestKey{service: service, outcome: outcome}
	s.mu.RLock()
	series := s.requests[key]
	s.mu.RUnlock()
	if series == nil {
		name := fmt.Sprintf("%s%s{service=%q,outcome=%q}", namePrefix, requestSeconds, service, outcome)
		series = s.set.GetOrCreateHistogram(name)
		s.mu.Lock()
		s.requests[key] = series
		s.mu.Unlock()
	}
	series.Update(duration.Seconds())
}

// ObserveStep records the duration of one step of the control goroutine.
func (s *Set) ObserveStep(duration time.Duration) {
	s.step.Update(duration.Seconds())
}

// Write writes the metrics of the set, followed by those of the process.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	vm.WriteProcessMetrics(w)
}

// seriesName returns the name of a series as it appears on /metrics, with its label
// if the counter has one and the value is not empty.
func seriesName(counter core.Counter, label string) string {
	name, ok := labelNames[counter]
	if !ok || label == "" {
		return namePrefix + string(counter)
	}
	return fmt.Sprintf("%s%s{%s=%q}", namePrefix, counter, name, label)
}

// labelNames holds the name of the label of each counter that has one.
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
