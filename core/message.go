package core

import "wisteriapond/config"

// Message is one message between entry hosts. Every field is optional.
type Message struct {
	// Accepted is the version that the sender has in force.
	Accepted *config.Version
	// Hosts are host entries that the receiver may not know, leaving marks
	// among them.
	Hosts []HostEntry
	// Manifest and Part carry the bytes of a document that the receiver asked
	// for.
	Manifest []byte
	Part     []byte
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
