// Package metrics keeps the counters of one process and writes them in the
// Prometheus text format.
package metrics

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"

	"wisteriapond/core"
	"wisteriapond/outcome"
)

const prefix = "wisteriapond_"

// labelNames gives the one label of each counter.
var labelNames = map[core.Counter]string{
	core.CounterRequests:       "service",
	core.CounterRefusals:       "reason",
	core.CounterFailures:       "reason",
	core.CounterRetries:        "reason",
	core.CounterAttempts:       "class",
	core.CounterConfigurations: "verdict",

	core.CounterRetriesWithheld:  "reason",
	core.CounterQueued:           "service",
	core.CounterShed:             "service",
	core.CounterHealth:           "verdict",
	core.CounterTrials:           "service",
	core.CounterCrossRegionBytes: "regions",
}

// Set is the metrics of one process. Several can live in one test.
type Set struct {
	set *vm.Set
}

// New returns a set in which every refusal and failure reason stands at zero,
// so that rates can be computed from the first event on.
func New() *Set {
	s := &Set{set: vm.NewSet()}
	for _, reason := range outcome.Refusals() {
		s.Add(core.CounterRefusals, string(reason), 0)
	}
	for _, reason := range outcome.Failures() {
		s.Add(core.CounterFailures, string(reason), 0)
	}
	for _, reason := range outcome.Retries() {
		s.Add(core.CounterRetries, string(reason), 0)
	}
	for _, reason := range outcome.AllWithheld() {
		s.Add(core.CounterRetriesWithheld, string(reason), 0)
	}
	return s
}

// Add adds to a counter.
func (s *Set) Add(counter core.Counter, label string, n int64) {
	s.set.GetOrCreateCounter(seriesName(counter, label)).AddInt64(n)
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
