package settings

import (
	"fmt"
	"net"

	"wisteriapond/document"
)

// DefaultMaxRecordingBytes is the default of Recording.MaxSize.
const DefaultMaxRecordingBytes = 64 << 20

const minRecordingBytes = 64 << 10

// maxPeers bounds the number of peers and of seeds.
const maxPeers = 4096

// Keys names the files of the host's key and certificates, all in PEM.
type Keys struct {
	// CA is the file with the certificate of the deployment's CA. During a
	// rotation, it contains the certificates of the old and the new CA.
	CA string `json:"ca"`
	// Certificate is the file with the certificate of this host.
	Certificate string `json:"certificate"`
	// Key is the file with the private key of this host.
	Key string `json:"key"`
}

// Recording configures the recording of events for replay.
type Recording struct {
	// File is the file to which events are written. Default "": events are not
	// recorded.
	File string `json:"file"`
	// MaxSize is the size at which the recording stops. Default "64MiB".
	MaxSize document.Size `json:"max_size"`
}

// checkPeers checks the settings for communication with other entry hosts. A
// process without peer_listen has no peers.
func (s *Settings) checkPeers(source *document.Source) {
	if s.PeerListen == "" {
		if len(s.Peers) > 0 || s.Keys != (Keys{}) {
			source.Report("peer_listen", "is required with peers or keys")
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

// checkFile requires the path of a key file, which mutual TLS with peers needs.
func checkFile(source *document.Source, field, file string) {
	if file == "" {
		source.Report(field, "is required with peer_listen")
	}
}

// checkHostAddress requires the IP address of one host, not a name or an
// unspecified address: the address is sent to other hosts, and certificates
// contain addresses, not names.
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

// checkRecording refuses a size limit too small for a recording to contain any
// events.
func (s *Settings) checkRecording(source *document.Source) {
	if s.Record.File != "" && s.Record.MaxSize < minRecordingBytes {
		source.Report("record.max_size", fmt.Sprintf("must be at least %d bytes", minRecordingBytes))
	}
}
