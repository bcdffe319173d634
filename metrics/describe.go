package metrics

import (
	"slices"

	"wisteriapond/core"
)

// Kind is the kind of a metric, as documented for operators.
type Kind string

// The kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindHistogram Kind = "histogram"
	KindGauge     Kind = "gauge"
)

// Description documents a metric. The table in docs/metrics.md is identical, which a
// test checks.
type Description struct {
	// Name is the name of the metric without the prefix "wisteriapond_".
	Name string
	Kind Kind
	// Labels holds the names of the labels, in the order in which they are written.
	Labels  []string
	Unit    string
	Meaning string
}

const (
	requestSeconds = "request_seconds"
	stepSeconds    = "step_seconds"
)

var trafficDescriptions = []Description{
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
		string(core.CounterRetriesWithheld), KindCounter,
		[]string{"reason"},
		"attempts",
		"Retries that were possible and not made: `attempts` (already three), `budget`, `body` (not kept) or `deadline`.",
	},
	{
		string(core.CounterQueued), KindCounter,
		[]string{"service"},
		"requests",
		"Requests that had to wait for a slot.",
	},
	{
		string(core.CounterShed), KindCounter,
		[]string{"service"},
		"attempts",
		"Attempts that a backend server refused as not run.",
	},
	{
		string(core.CounterAhead), KindCounter,
		[]string{"service"},
		"requests",
		"Requests that were started before an earlier one of their caller's connection was answered; see [design/pipelined-requests.md](design/pipelined-requests.md).",
	},
	{
		string(core.CounterColdStarts), KindCounter,
		[]string{"service"},
		"attempts",
		"Attempts on cold backend servers of services that state what such a server bears; see [design/cold-servers.md](design/cold-servers.md).",
	},
	{
		string(core.CounterColdReports), KindCounter,
		[]string{"service"},
		"upstreams",
		"Warm-ups that backend servers reported when this host asked for their load.",
	},
	{
		string(core.CounterRequestedWaits), KindCounter,
		[]string{"service"},
		"responses",
		"Errors with `Retry-After`: this host sends nothing to the upstream for that time.",
	},
	{
		string(core.CounterHealthVerdicts), KindCounter,
		[]string{"verdict"},
		"upstreams",
		"Changes of ejections: `failures` and `slow` begin one; `reinstated` (a trial went well) and `released` (most upstreams fail) end one.",
	},
	{
		string(core.CounterTrials), KindCounter,
		[]string{"service"},
		"attempts",
		"Trial requests to ejected upstreams.",
	},
	{
		string(core.CounterCrossRegionBytes), KindCounter,
		[]string{"regions"},
		"bytes",
		"Bytes of request and answer bodies that crossed regions, as `from>to`.",
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
		"Configurations by verdict: `accepted`, `refused`, `stale` (older than the one in force), `conflict` (another one of the same generation), `part_mismatch` (a part with other content than the manifest names) or `bad_patch` (a difference from a peer that did not fit); `unknown_region` counts the routes of accepted ones that are kept to a region which the settings do not name.",
	},
	{
		string(core.CounterMemberChanges), KindCounter,
		[]string{"state"},
		"hosts",
		"Changes of entry hosts, by the new state: `alive`, `suspect`, `dead` or `left`.",
	},
	{
		string(core.CounterPeerUnreachable), KindCounter,
		nil,
		"messages",
		"Messages to other entry hosts that could not be sent.",
	},
	{
		string(core.CounterDomainChanges), KindCounter,
		[]string{"change"},
		"failure domains",
		"Failure domains that the operators `emptied`, and those that were `taken_back`, as this host learned of it.",
	},
	{
		string(core.CounterLeavingMarks), KindCounter,
		[]string{"source"},
		"marks",
		"Changes of leaving marks, by where they came from: `host_list`, `backend`, `peer` or `neighbour` (an entry host that reads a store); `table_full` counts marks that were dropped.",
	},
	{
		string(core.CounterMarkExchanges), KindCounter,
		nil,
		"exchanges",
		"Full exchanges of leaving marks with an entry host that knew other ones.",
	},
	{
		string(core.CounterPartRequests), KindCounter,
		[]string{"source"},
		"documents",
		"Requests for service parts, by whom they went to: `peer` or `service`.",
	},
	{
		string(core.CounterPlatformFailures), KindCounter,
		nil,
		"calls",
		"Reads and watches of the platform that failed.",
	},
	{
		string(core.CounterLeaseChanges), KindCounter,
		[]string{"change"},
		"upstreams",
		"Upstreams that changed between slot leases (`leased`) and own counts (`lapsed`).",
	},
	{
		string(core.CounterLeaseMessages), KindCounter,
		[]string{"kind"},
		"messages",
		"Lease messages sent: `ask` or `answer`.",
	},
	{
		string(core.CounterProbes), KindCounter,
		[]string{"verdict"},
		"probes",
		"Probes by what became of them: `started`, `answered`, `failed`, `expired`; `from_peer` counts results that a peer shared.",
	},
	{
		string(core.CounterProbeBytes), KindCounter,
		nil,
		"bytes",
		"Bytes charged to the measuring budget, at the worst case of each probe.",
	},
	{
		string(core.CounterStoreUpdates), KindCounter,
		[]string{"event"},
		"messages",
		"News of the store between entry hosts: `told`, `taken`, `failed`, `outdated` (a response of the store or an entry, older than what is known), `withheld` (an entry that came back with a copy of the store after its removal), or `too_many_neighbours`.",
	},
	{
		string(core.CounterStoreEras), KindCounter,
		nil,
		"eras",
		"Returns of the store from a copy that lacks its latest changes.",
	},
	{
		string(core.CounterUnusableEntries), KindCounter,
		nil,
		"entries",
		"Entries of the store that name no server to use, each time that they are read.",
	},
	{
		string(core.CounterLogEntriesOmitted), KindCounter,
		[]string{"kind"},
		"lines",
		"Log lines of requests that were left out since there were too many in a second: `refused`, `failed`, `error_answer`, `broken_off` or `late`.",
	},
	{
		string(core.CounterPanics), KindCounter,
		nil,
		"events",
		"Events that were dropped after an internal fault. Any is a bug: report it with the log line.",
	},
	{
		string(core.CounterShortages), KindCounter,
		[]string{"kind"},
		"decisions",
		"Decisions while callers held too much: `caller_connections`, `server_connections` or `memory`, at most five a second; `descriptors` counts connections that could not be accepted for lack of them.",
	},
	{
		string(core.CounterCallersClosed), KindCounter,
		[]string{"reason"},
		"connections",
		"Connections from callers that were closed in a shortage: `idle`, `slow_head`, `stalled_answer` or `slow_body`.",
	},
	{
		string(core.CounterPauses), KindCounter,
		nil,
		"pauses",
		"Pauses of the process that the control goroutine noticed by a late tick.",
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

var descriptions = slices.Concat(trafficDescriptions, transportDescriptions)

// Descriptions returns the descriptions of all metrics of an entry host. The caller
// must not modify them.
func Descriptions() []Description { return descriptions }

// FullName returns the name of the metric on /metrics.
func (d *Description) FullName() string { return namePrefix + d.Name }
