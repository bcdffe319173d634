package peer

import "wisteriapond/metrics"

// The counters of the transport. The label of each is given in parentheses.
const (
	// CounterBytesOut counts encoded bytes sent (kind).
	CounterBytesOut = metrics.PeerBytesOut
	// CounterBytesIn counts encoded bytes received (kind).
	CounterBytesIn = metrics.PeerBytesIn
	// CounterMessagesOut counts messages sent (way: datagram or stream).
	CounterMessagesOut = metrics.PeerMessagesOut
	// CounterMessagesIn counts messages received (way).
	CounterMessagesIn = metrics.PeerMessagesIn
	// CounterDropped counts messages that were not sent (reason).
	CounterDropped = metrics.PeerMessagesDropped
	// CounterMalformed counts messages that could not be decoded (way).
	CounterMalformed = metrics.PeerMessagesMalformed
	// CounterHandshakes counts connections that were tried (result).
	CounterHandshakes = metrics.PeerHandshakes
	// CounterClosed counts connections that the host closed (reason).
	CounterClosed = metrics.PeerConnectionsClosed
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
	handshakeTooMany   = "too_many"
)

// Reasons why the host closed a connection.
const (
	closedMalformed = "malformed"
	closedKey       = "key_not_valid"
	closedSilent    = "silent"
	closedTooMany   = "too_many"
)
