package peer

import "wisteriapond/metrics"

// Counters of the transport. The label of each is given in parentheses.
const (
	// CounterBytesOut counts encoded bytes sent (kind).
	CounterBytesOut = metrics.PeerBytesOut
	// CounterBytesIn counts encoded bytes received (kind).
	CounterBytesIn = metrics.PeerBytesIn
	// CounterMessagesOut counts messages sent (way: the transport of the message,
	// datagram or stream).
	CounterMessagesOut = metrics.PeerMessagesOut
	// CounterMessagesIn counts messages received (way).
	CounterMessagesIn = metrics.PeerMessagesIn
	// CounterDropped counts messages that were dropped (reason).
	CounterDropped = metrics.PeerMessagesDropped
	// CounterMalformed counts messages that could not be decoded (way).
	CounterMalformed = metrics.PeerMessagesMalformed
	// CounterHandshakes counts handshakes with peers (result).
	CounterHandshakes = metrics.PeerHandshakes
	// CounterClosed counts connections that this host closed (reason).
	CounterClosed = metrics.PeerConnectionsClosed
)

// Transports of a message, used as the metric label way.
const (
	transportDatagram = "datagram"
	transportStream   = "stream"
)

// Reasons why a message was dropped.
const (
	droppedTooManyPeers    = "too_many_peers"
	droppedInvalidAddress  = "invalid_address"
	droppedQueueFull       = "queue_full"
	droppedExpired         = "expired"
	droppedUnreachable     = "unreachable"
	droppedTooLarge        = "too_large"
	droppedStreamQueueFull = "stream_queue_full"
	droppedSendFailed      = "send_failed"
)

// Results of handshakes. A rejected handshake is counted both by the host that
// rejects it and by the host that is rejected.
const (
	handshakeAccepted       = "accepted"
	handshakeDialed         = "dialed"
	handshakeRefused        = "refused"
	handshakeRefusedByPeer  = "refused_by_peer"
	handshakeFailed         = "failed"
	handshakeTooManyPending = "too_many"
)

// Reasons why this host closed a connection.
const (
	closedMalformed          = "malformed"
	closedInvalidKey         = "key_not_valid"
	closedUnresponsive       = "silent"
	closedTooManyConnections = "too_many"
)
