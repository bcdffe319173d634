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
	CounterDropped = metrics.PeerDropped
	// CounterMalformed counts messages that could not be decoded (way).
	CounterMalformed = metrics.PeerMalformed
	// CounterHandshakes counts connections that were tried (result).
	CounterHandshakes = metrics.PeerHandshakes
	// CounterClosed counts connections that the host closed (reason).
	CounterClosed = metrics.PeerClosed
)

// The two ways of a message.
const (
	transportDatagram = "datagram"
	transportStream   = "stream"
)

// Reasons why a message was not sent.
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

// Results of handshakes. A refusal is counted by the host that refuses and by
// the one that is refused.
const (
	handshakeAccepted       = "accepted"
	handshakeDialed         = "dialed"
	handshakeRefused        = "refused"
	handshakeRefusedByPeer  = "refused_by_peer"
	handshakeFailed         = "failed"
	handshakeTooManyPending = "too_many"
)

// Reasons why the host closed a connection.
const (
	closedMalformed          = "malformed"
	closedInvalidKey         = "key_not_valid"
	closedUnresponsive       = "silent"
	closedTooManyConnections = "too_many"
)
