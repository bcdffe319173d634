package metrics

import "wisteriapond/core"

// Kind tells the kinds of metrics apart.
type Kind string

// The kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindHistogram Kind = "histogram"
)

// Description says what a metric means. docs/metrics.md lists the same.
type Description struct {
	// Name is the name without the prefix "wisteriapond_".
	Name string
	Kind Kind
	// Labels are the names of the labels, in order.
	Labels  []string
	Unit    string
	Meaning string
}

const (
	requestSeconds = "request_seconds"
	stepSeconds    = "step_seconds"
)

var descriptions = []Description{
	{
		string(core.CounterRequests), KindCounter,
		[]string{"service"},
		"requests",
		"Requests that arrived and belong to the service.",
	},
	{
		string(core.CounterRefusals), KindCounter,
		[]string{"reason"},
		"requests",
		"Requests refused as not run.",
	},
	{
		string(core.CounterFailures), KindCounter,
		[]string{"reason"},
		"requests",
		"Requests whose outcome is unknown to the caller.",
	},
	{
		string(core.CounterRetries), KindCounter,
		[]string{"reason"},
		"attempts",
		"Attempts after the first one of a request, by the end of the attempt before.",
	},
	{
		string(core.CounterAttempts), KindCounter,
		[]string{"class"},
		"attempts",
		"Attempts that ended: `not_run`, `unknown` or `answered`.",
	},
	{
		string(core.CounterConfigurations), KindCounter,
		[]string{"verdict"},
		"documents",
		"Configurations by verdict: `accepted` or `refused`.",
	},
	{
		requestSeconds, KindHistogram,
		[]string{"service", "outcome"},
		"seconds",
		"Time from the arrival of a request until its answer is handed to the caller's connection; for a long answer, until its head is.",
	},
	{
		stepSeconds, KindHistogram, nil, "seconds",
		"Time that the control goroutine takes for one event: the step of the reducer and its effects.",
	},
}

// Descriptions lists every metric of the system.
func Descriptions() []Description { return descriptions }

// FullName returns the name under which /metrics shows the metric.
func (d *Description) FullName() string { return prefix + d.Name }
