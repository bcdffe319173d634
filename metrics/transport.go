package metrics

import "wisteriapond/core"

// Counters of connections between entry hosts, of calls to the platform and of the
// event recording.
const (
	PeerBytesOut          core.Counter = "peer_bytes_out_total"
	PeerBytesIn           core.Counter = "peer_bytes_in_total"
	PeerMessagesOut       core.Counter = "peer_messages_out_total"
	PeerMessagesIn        core.Counter = "peer_messages_in_total"
	PeerMessagesDropped   core.Counter = "peer_messages_dropped_total"
	PeerMessagesMalformed core.Counter = "peer_messages_malformed_total"
	PeerHandshakes        core.Counter = "peer_handshakes_total"
	PeerConnectionsClosed core.Counter = "peer_connections_closed_total"
	PlatformCalls         core.Counter = "platform_calls_total"
	PlatformCallsDropped  core.Counter = "platform_calls_dropped_total"
	RecordedEvents        core.Counter = "recorded_events_total"
)

// Gauges for the key of the host.
const (
	KeyExpirySeconds  = "key_expiry_seconds"
	KeyReloadsRefused = "key_reloads_refused"
)

var transportDescriptions = []Description{
	{
		string(PeerBytesOut), KindCounter,
		[]string{"kind"},
		"bytes",
		"Encoded bytes sent to other entry hosts, by the field of the message.",
	},
	{
		string(PeerBytesIn), KindCounter,
		[]string{"kind"},
		"bytes",
		"Encoded bytes received from other entry hosts, by the field of the message.",
	},
	{
		string(PeerMessagesOut), KindCounter,
		[]string{"way"},
		"messages",
		"Messages sent to other entry hosts: `datagram` or `stream`.",
	},
	{
		string(PeerMessagesIn), KindCounter,
		[]string{"way"},
		"messages",
		"Messages received from other entry hosts: `datagram` or `stream`.",
	},
	{
		string(PeerMessagesDropped), KindCounter,
		[]string{"reason"},
		"messages",
		"Messages to other entry hosts that were not sent.",
	},
	{
		string(PeerMessagesMalformed), KindCounter,
		[]string{"way"},
		"messages",
		"Messages from other entry hosts that could not be decoded.",
	},
	{
		string(PeerHandshakes), KindCounter,
		[]string{"result"},
		"handshakes",
		"Handshakes with other entry hosts: `accepted`, `dialed`, `refused` by this host, `refused_by_peer`, `failed`, or `too_many` under way.",
	},
	{
		string(PeerConnectionsClosed), KindCounter,
		[]string{"reason"},
		"connections",
		"Connections to other entry hosts that this host closed.",
	},
	{
		string(PlatformCalls), KindCounter,
		[]string{"kind"},
		"calls",
		"Calls to the platform: `manifest`, `watch`, `part` or `hosts`. A pending watch is one call.",
	},
	{
		string(PlatformCallsDropped), KindCounter,
		[]string{"kind"},
		"calls",
		"Work for the platform's documents that was dropped because too much of it waited.",
	},
	{
		string(RecordedEvents), KindCounter,
		[]string{"result"},
		"events",
		"Recorded events `written`; recordings `dropped` count once each.",
	},
	{
		KeyExpirySeconds, KindGauge, nil, "seconds",
		"Time until the key of this host expires; negative after that. Only with peers.",
	},
	{
		KeyReloadsRefused, KindGauge, nil, "reloads",
		"Reloads of the key that were refused since the start. Only with peers.",
	},
}
