package core

// Counter names a counter that the reducer adds to.
type Counter string

// The counters. The label of each is given in parentheses.
const (
	// CounterRequests counts requests that arrived (service).
	CounterRequests Counter = "requests_total"
	// CounterRefusals counts requests refused as not run (reason).
	CounterRefusals Counter = "refusals_total"
	// CounterFailures counts requests whose outcome is unknown (reason).
	CounterFailures Counter = "failures_total"
	// CounterRetries counts attempts after the first (reason of the retry).
	CounterRetries Counter = "retries_total"
	// CounterRetriesWithheld counts retries that were possible and not made
	// (reason).
	CounterRetriesWithheld Counter = "retries_withheld_total"
	// CounterQueued counts requests that had to wait for a slot (service).
	CounterQueued Counter = "queued_total"
	// CounterShed counts attempts that a backend server refused as not run
	// (service).
	CounterShed Counter = "shed_total"
	// CounterHealth counts ejections and their ends (verdict).
	CounterHealth Counter = "health_verdicts_total"
	// CounterTrials counts trial requests to ejected upstreams (service).
	CounterTrials Counter = "trials_total"
	// CounterCrossRegionBytes counts bytes of bodies that crossed regions
	// (from and to, as "from>to").
	CounterCrossRegionBytes Counter = "cross_region_bytes_total"
	// CounterAttempts counts attempts that ended (class).
	CounterAttempts Counter = "attempts_total"
	// CounterConfigurations counts configurations by verdict (verdict).
	CounterConfigurations Counter = "configurations_total"
)
