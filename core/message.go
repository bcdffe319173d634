package core

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/generation"
	"wisteriapond/lease"
	"wisteriapond/membership"
)

// Message is one message between entry hosts. Every field is optional. The
// encoding numbers fields by their order, so new ones go to the end.
type Message struct {
	// Accepted is the version that the sender has in force.
	Accepted *config.Version
	// Hosts are leaving marks that the receiver may not know, or the ends of
	// such.
	Hosts []HostEntry
	// Manifest and Part carry the bytes of a document that the receiver asked
	// for.
	Manifest []byte
	Part     []byte
	// Membership is a message of the membership protocol.
	Membership *membership.Message
	// Ask and Answer are messages about slot leases.
	Ask    *lease.Ask
	Answer *lease.Answer
	// WantManifest asks for a manifest, WantParts for parts by hash.
	WantManifest *ManifestRequest
	WantParts    []config.Hash
	// Patch turns a manifest that the receiver has into the one it asked for.
	Patch *generation.Patch
	// Lacking names documents that the receiver asked for and the sender does
	// not have.
	Lacking []config.Hash
	// Measured are results of probes.
	Measured []Measurement
	// Query asks for a message with the same number in Reply.
	Query uint64
	Reply uint64
	// MarksDigest identifies the set of leaving marks that the sender knows.
	MarksDigest uint64
}

// ManifestRequest asks for the manifest of a version. Have is the hash of a
// manifest that the sender of the request has, so that a patch suffices.
type ManifestRequest struct {
	Version config.Version
	Have    config.Hash
}

// Measurement is the result of a probe, for hosts that did not make it.
type Measurement struct {
	Service  string
	Upstream string
	// Age is the time since the probe ended.
	Age  time.Duration
	Took time.Duration
	// Failed says that no whole answer came, or an error.
	Failed bool
	// Load is the load that the backend server reported, -1 for none.
	Load int
}

// PeerMessage reports a message from another entry host. From is the host name
// that its certificate proves.
type PeerMessage struct {
	From    string
	Address string
	Message Message
	// Bytes is the size of the encoded message.
	Bytes int
}

// PeerUnreachable reports that a message could not be sent.
type PeerUnreachable struct {
	Address string
}

// SendPeer sends a message to the entry host at an address.
type SendPeer struct {
	Address string
	Message Message
}

// ParseManifest parses the bytes of a manifest that came from a peer. The
// result is a ManifestRead or a DocumentRefused event.
type ParseManifest struct {
	Raw  []byte
	From string
}

// ParsePart parses the bytes of a service part that came from a peer. The
// result is a PartRead or a DocumentRefused event.
type ParsePart struct {
	Raw  []byte
	From string
}

func (PeerMessage) event()     {}
func (PeerUnreachable) event() {}
func (SendPeer) effect()       {}
func (ParseManifest) effect()  {}
func (ParsePart) effect()      {}
