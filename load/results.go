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
	// minLatencyMicroseconds and maxLatencyMicroseconds bound the histogram.
	// Latencies outside this range are clamped.
	minLatencyMicroseconds = 1
	maxLatencyMicroseconds = int64(time.Hour / time.Microsecond)
	// significantDigits bounds the relative error of a percentile to 1/1000.
	significantDigits = 3
	chartWidth        = 50
)

// percentiles lists the percentiles of a Summary, in percent.
var percentiles = []float64{50, 90, 95, 99, 99.9, 100}

// Results holds the results of a run by target label.
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

// Summary is the result of the targets with one label. Requests counts the
// requests that were sent, Dropped those that were due but not sent.
type Summary struct {
	Label    string         `json:"label"`
	Requests int            `json:"requests"`
	Dropped  int            `json:"dropped"`
	Outcomes map[string]int `json:"outcomes"`
	// Upstreams counts the responses by the upstream that sent them.
	Upstreams map[string]int `json:"upstreams"`
	// Percentiles holds latency percentiles of all sent requests, including
	// failed ones, in milliseconds.
	Percentiles []Percentile `json:"percentiles"`
}

// Percentile is the latency that Percent percent of the requests do not exceed.
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

// Summaries returns one summary per label, sorted by label.
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

// WriteText writes a table of outcomes, followed by a chart of the latency
// percentiles and the number of responses per upstream for each label.
func (r *Results) WriteText(w io.Writer) error {
	summaries := r.Summaries()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "LABEL\tREQUESTS\tANSWERED\tNOT-RUN\tUNKNOWN\tFAILED\tDROPPED")
	for _, s := range summaries {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Label, s.Requests,
			s.Outcomes[Responded], s.Outcomes[NotRun], s.Outcomes[Unknown], s.Outcomes[Failed], s.Dropped)
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

// maxLatency returns the highest percentile of all summaries in milliseconds.
// All charts use it as their scale.
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
