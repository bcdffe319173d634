package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatencyMicroseconds and highestLatency are in microseconds.
	minLatencyMicroseconds = 1
	maxLatencyMicroseconds = int64(time.Hour / time.Microsecond)
	// significantDigits bounds the error of a percentile to 1 in 1,000.
	significantDigits = 3
	chartWidth        = 50
)

// percentiles are the ones that are shown.
var percentiles = []float64{50, 90, 95, 99, 99.9, 100}

// Results are the results of a run by label.
type Results struct {
	mu     sync.Mutex
	labels map[string]*labelResults
}

type labelResults struct {
	latency   *hdrhistogram.Histogram
	outcomes  map[string]int
	upstreams map[string]int
	dropped   int
}

// Summary is the result of one label.
type Summary struct {
	Label    string         `json:"label"`
	Requests int            `json:"requests"`
	Dropped  int            `json:"dropped"`
	Outcomes map[string]int `json:"outcomes"`
	// Upstreams counts the answers by the upstream that gave them.
	Upstreams map[string]int `json:"upstreams"`
	// Percentiles holds latencies of all requests in milliseconds.
	Percentiles []Percentile `json:"percentiles"`
}

// Percentile is a latency that the given part of requests does not exceed.
type Percentile struct {
	Percent      float64 `json:"percent"`
	Milliseconds float64 `json:"milliseconds"`
}

func newResults(plan Plan) *Results {
	r := &Results{labels: make(map[string]*labelResults)}
	for _, target := range plan.Targets {
		r.labels[target.Label] = &labelResults{
			latency:   hdrhistogram.New(minLatencyMicroseconds, maxLatencyMicroseconds, significantDigits),
			outcomes:  make(map[string]int),
			upstreams: make(map[string]int),
		}
	}
	return r
}

func (r *Results) record(label, outcome, upstream string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.labels[label]
	l.latency.RecordValue(min(maxLatencyMicroseconds, max(minLatencyMicroseconds, latency.Microseconds())))
	l.outcomes[outcome]++
	if upstream != "" {
		l.upstreams[upstream]++
	}
}

func (r *Results) recordDropped(label string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.labels[label].dropped++
}

// Summaries returns the results in the order of the labels.
func (r *Results) Summaries() []Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	summaries := make([]Summary, 0, len(r.labels))
	for label, l := range r.labels {
		summaries = append(summaries, l.summary(label))
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return strings.Compare(a.Label, b.Label) })
	return summaries
}

func (l *labelResults) summary(label string) Summary {
	s := Summary{
		Label:     label,
		Requests:  int(l.latency.TotalCount()),
		Dropped:   l.dropped,
		Outcomes:  l.outcomes,
		Upstreams: l.upstreams,
	}
	for _, percent := range percentiles {
		microseconds := l.latency.ValueAtPercentile(percent)
		s.Percentiles = append(s.Percentiles, Percentile{Percent: percent, Milliseconds: float64(microseconds) / 1e3})
	}
	return s
}

// WriteText writes the results as a table of outcomes, and for each label a
// chart of percentiles and the upstreams that answered.
func (r *Results) WriteText(w io.Writer) error {
	summaries := r.Summaries()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "LABEL\tREQUESTS\tANSWERED\tNOT-RUN\tUNKNOWN\tFAILED\tDROPPED")
	for _, s := range summaries {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Label, s.Requests,
			s.Outcomes[Answered], s.Outcomes[NotRun], s.Outcomes[Unknown], s.Outcomes[Failed], s.Dropped)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	highest := maxLatency(summaries)
	for _, s := range summaries {
		fmt.Fprintf(w, "\n%s\n", s.Label)
		for _, p := range s.Percentiles {
			fmt.Fprintf(w, "  p%-5v %10.3f ms  %s\n", p.Percent, p.Milliseconds, bar(p.Milliseconds, highest))
		}
		for _, upstream := range slices.Sorted(maps.Keys(s.Upstreams)) {
			fmt.Fprintf(w, "  answered by %s: %d\n", upstream, s.Upstreams[upstream])
		}
	}
	return nil
}

// maxLatency gives all charts one scale.
func maxLatency(summaries []Summary) float64 {
	highest := 0.0
	for _, s := range summaries {
		for _, p := range s.Percentiles {
			highest = max(highest, p.Milliseconds)
		}
	}
	return highest
}

func bar(value, highest float64) string {
	if highest == 0 {
		return ""
	}
	return strings.Repeat("#", int(value/highest*chartWidth))
}
