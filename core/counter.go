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
	// CounterAttempts counts attempts that ended (class).
	CounterAttempts Counter = "attempts_total"
	// CounterConfigurations counts configurations by verdict (verdict).
	CounterConfigurations Counter = "configurations_total"
)
