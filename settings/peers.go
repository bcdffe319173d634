package settings

import (
	"fmt"
	"net"

	"wisteriapond/document"
)

// DefaultMaxRecordingSize bounds a recording of events.
const DefaultMaxRecordingSize = 64 << 20

const minRecordSize = 64 << 10

// maxPeers bounds the list of peers.
const maxPeers = 4096

// Keys names the files of the host's key, all in PEM.
type Keys struct {
	// CA holds the certificate of the deployment's CA; during a rotation, of
	// the old and the new one.
	CA string `json:"ca"`
	// Certificate is the certificate of this host.
	Certificate string `json:"certificate"`
	// Key is the private key of this host.
	Key string `json:"key"`
}

// Recording says where events are recorded for replay.
type Recording struct {
	// File receives the events; empty turns recording off.
	File string `json:"file"`
	// MaxSize is the size at which the recording ends. Default "64MiB".
	MaxSize document.Size `json:"max_size"`
}

// checkPeers checks what a process needs to talk to other entry hosts. A
// process without peer_listen runs alone.
func (s *Settings) checkPeers(source *document.Source) {
	if s.PeerListen == "" {
		if len(s.Peers) > 0 || s.Keys != (Keys{}) {
			source.Report("peer_listen", "is needed with peers or keys")
		}
		return
	}
	checkHostAddress(source, "peer_listen", s.PeerListen)
	checkFile(source, "keys.ca", s.Keys.CA)
	checkFile(source, "keys.certificate", s.Keys.Certificate)
	checkFile(source, "keys.key", s.Keys.Key)
	if len(s.Peers) > maxPeers {
		source.Report("peers", fmt.Sprintf("at most %d peers", maxPeers))
	}
	for i, address := range s.Peers {
		checkHostAddress(source, fmt.Sprintf("peers[%d]", i), address)
	}
}

func checkFile(source *document.Source, field, file string) {
	if file == "" {
		source.Report(field, "is needed with peer_listen")
	}
}

// checkHostAddress demands an IP address that other hosts can reach: the
// address is told to them, and certificates name addresses, not names.
func checkHostAddress(source *document.Source, field, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		source.Report(field, err.Error())
		return
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		source.Report(field, fmt.Sprintf("must be ADDRESS:PORT with the IP address of one host, got %q", address))
	}
}

// checkRecord refuses a recording that could hold nothing.
func (s *Settings) checkRecord(source *document.Source) {
	if s.Record.File != "" && s.Record.MaxSize < minRecordSize {
		source.Report("record.max_size", fmt.Sprintf("must be at least %d bytes", minRecordSize))
	}
}
