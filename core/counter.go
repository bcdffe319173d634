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
	// CounterRetriesWithheld counts retries that the outcome allowed but that were
	// not made (reason).
	CounterRetriesWithheld Counter = "retries_withheld_total"
	// CounterQueued counts requests that had to wait for a slot (service).
	CounterQueued Counter = "queued_total"
	// CounterShed counts attempts that a backend server rejected without running
	// them (service).
	CounterShed Counter = "shed_total"
	// CounterAhead counts requests that were started before an earlier one of their
	// connection was answered (service).
	CounterAhead Counter = "ahead_total"
	// CounterColdStarts counts attempts on cold backend servers (service).
	CounterColdStarts Counter = "cold_starts_total"
	// CounterColdReports counts warm-ups that backend servers reported (service).
	CounterColdReports Counter = "cold_reports_total"
	// CounterRequestedWaits counts responses with which a backend server asked this
	// host to send nothing for some time (service).
	CounterRequestedWaits Counter = "requested_waits_total"
	// CounterHealthVerdicts counts ejections of upstreams and their ends (verdict).
	CounterHealthVerdicts Counter = "health_verdicts_total"
	// CounterTrials counts trial requests to ejected upstreams (service).
	CounterTrials Counter = "trials_total"
	// CounterCrossRegionBytes counts body bytes that crossed regions
	// (from and to, as "from>to").
	CounterCrossRegionBytes Counter = "cross_region_bytes_total"
	// CounterAttempts counts attempts that ended (class).
	CounterAttempts Counter = "attempts_total"
	// CounterConfigurations counts configurations and their documents by
	// outcome, and routes kept to unknown regions (verdict).
	CounterConfigurations Counter = "configurations_total"
	// CounterMemberChanges counts state changes of entry hosts (new state).
	CounterMemberChanges Counter = "member_changes_total"
	// CounterPeerUnreachable counts messages to peers that could not be sent.
	CounterPeerUnreachable Counter = "peer_unreachable_total"
	// CounterLeavingMarks counts changes of leaving marks (source), and marks that
	// were dropped because the host table was full (table_full).
	CounterLeavingMarks Counter = "leaving_marks_total"
	// CounterDomainChanges counts failure domains that the operators emptied or took
	// back (emptied, taken_back).
	CounterDomainChanges Counter = "failure_domain_changes_total"
	// CounterMarkExchanges counts full exchanges of leaving marks with a peer
	// whose marks differed.
	CounterMarkExchanges Counter = "mark_exchanges_total"
	// CounterPartRequests counts requests for service parts, by whether a peer or
	// the configuration service received them (peer or service).
	CounterPartRequests Counter = "part_requests_total"
	// CounterPlatformFailures counts failed reads and watches of the platform.
	CounterPlatformFailures Counter = "platform_failures_total"
	// CounterLeaseChanges counts changes of upstreams between leases and this
	// host's own counts (leased or lapsed).
	CounterLeaseChanges Counter = "lease_changes_total"
	// CounterLeaseMessages counts lease messages sent (ask or answer).
	CounterLeaseMessages Counter = "lease_messages_total"
	// CounterProbes counts probes (started, answered, failed, expired,
	// from_peer).
	CounterProbes Counter = "probes_total"
	// CounterProbeBytes counts the bytes charged for probes.
	CounterProbeBytes Counter = "probe_bytes_total"
	// CounterStoreUpdates counts the propagation of store updates between entry
	// hosts: responses to polls (told), updates applied (taken), polls that failed
	// (failed), responses of the store and entries that are older than what is known
	// (outdated), entries that came back with a copy of the store after their removal
	// (withheld), and neighbours beyond the limit (too_many_neighbours).
	CounterStoreUpdates Counter = "news_total"
	// CounterStoreEras counts the returns of the store from a copy.
	CounterStoreEras Counter = "store_eras_total"
	// CounterUnusableEntries counts entries of the store that name no server to use.
	CounterUnusableEntries Counter = "unusable_entries_total"
	// CounterLogEntriesOmitted counts request log entries beyond their rate limit
	// (kind).
	CounterLogEntriesOmitted Counter = "request_lines_left_out_total"
	// CounterPanics counts panics of the reducer from which the process recovered.
	CounterPanics Counter = "panics_total"
	// CounterShortages counts decisions while something was short (kind).
	CounterShortages Counter = "shortages_total"
	// CounterCallersClosed counts connections from callers closed for a shortage
	// (reason).
	CounterCallersClosed Counter = "callers_closed_total"
	// CounterPauses counts pauses of the process.
	CounterPauses Counter = "pauses_total"
)
