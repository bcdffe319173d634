package core

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/generation"
	"wisteriapond/lease"
	"wisteriapond/membership"
)

// Message is a message between entry hosts. All fields are optional. The encoding
// numbers the fields by their position, so new fields must be appended.
type Message struct {
	// Accepted is the version that the sender has in force.
	Accepted *config.Version
	// Hosts are leaving marks that were set or ended and that the receiver may not
	// know.
	Hosts []HostEntry
	// Manifest and Part carry the raw bytes of a document that the receiver has
	// requested.
	Manifest []byte
	Part     []byte
	// Membership is a message of the membership protocol.
	Membership *membership.Message
	// Ask and Answer are messages of the slot lease protocol.
	Ask    *lease.Ask
	Answer *lease.Answer
	// WantManifest requests a manifest, and WantParts requests service parts by
	// hash.
	WantManifest *ManifestRequest
	WantParts    []config.Hash
	// Patch turns a manifest that the receiver has into the requested one.
	Patch *generation.Patch
	// Lacking lists the hashes of requested documents that the sender does not
	// have.
	Lacking []config.Hash
	// Measured are probe results.
	Measured []Measurement
	// Query requests a message with the same number in Reply. A host sends it
	// after a pause of its process.
	Query uint64
	Reply uint64
	// MarksDigest identifies the set of leaving marks that the sender knows.
	MarksDigest uint64
}

// ManifestRequest requests the manifest of a version. Have is the hash of a
// manifest that the requesting host has, so that a patch against it can be sent
// instead.
type ManifestRequest struct {
	Version config.Version
	Have    config.Hash
}

// Measurement is the result of a probe, as propagated to other hosts.
type Measurement struct {
	Service  string
	Upstream string
	// Age is the time since the probe ended.
	Age time.Duration
	// Took is the time from the first byte sent to the end of the response.
	Took time.Duration
	// Failed is set if no complete response arrived, or one with a status of 500 or
	// above.
	Failed bool
	// Load is the load that the backend server reported, or -1 if it reported none.
	Load int
}

// PeerMessage reports a message from another entry host. From is the host name
// that the sender's certificate authenticates.
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

// ParseManifest parses the raw bytes of a manifest received from a peer. The
// result is a ManifestRead or a DocumentRefused event.
type ParseManifest struct {
	Raw  []byte
	From string
}

// ParsePart parses the raw bytes of a service part received from a peer. The
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
