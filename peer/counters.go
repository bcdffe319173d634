package peer

import "wisteriapond/core"

// The counters of the transport. The label of each is given in parentheses.
const (
	// CounterBytesOut counts encoded bytes sent (kind).
	CounterBytesOut core.Counter = "peer_bytes_out_total"
	// CounterBytesIn counts encoded bytes received (kind).
	CounterBytesIn core.Counter = "peer_bytes_in_total"
	// CounterMessagesOut counts messages sent (way: datagram or stream).
	CounterMessagesOut core.Counter = "peer_messages_out_total"
	// CounterMessagesIn counts messages received (way).
	CounterMessagesIn core.Counter = "peer_messages_in_total"
	// CounterDropped counts messages that were not sent (reason).
	CounterDropped core.Counter = "peer_messages_dropped_total"
	// CounterMalformed counts messages that could not be decoded (way).
	CounterMalformed core.Counter = "peer_messages_malformed_total"
	// CounterHandshakes counts connections that were tried (result).
	CounterHandshakes core.Counter = "peer_handshakes_total"
	// CounterClosed counts connections that the host closed (reason).
	CounterClosed core.Counter = "peer_connections_closed_total"
)

// The two ways of a message.
const (
	wayDatagram = "datagram"
	wayStream   = "stream"
)

// Reasons why a message was not sent.
const (
	droppedPeers       = "too_many_peers"
	droppedAddress     = "invalid_address"
	droppedQueue       = "queue_full"
	droppedExpired     = "expired"
	droppedUnreachable = "unreachable"
	droppedTooLarge    = "too_large"
	droppedStreams     = "stream_queue_full"
	droppedFailed      = "send_failed"
)

// Results of handshakes. A refusal is counted by the host that refuses and by
// the one that is refused.
const (
	handshakeAccepted  = "accepted"
	handshakeDialed    = "dialed"
	handshakeRefused   = "refused"
	handshakeRefusedBy = "refused_by_peer"
	handshakeFailed    = "failed"
)

// Reasons why the host closed a connection.
const (
	closedMalformed = "malformed"
	closedKey       = "key_not_valid"
	closedSilent    = "silent"
	closedTooMany   = "too_many"
)
