package settings

import (
	"errors"
	"fmt"
	"net"

	"wisteriapond/document"
)

// DefaultRecordSize bounds a recording of events.
const DefaultRecordSize = 64 << 20

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

// Record says where events are recorded for replay.
type Record struct {
	// File receives the events; empty turns recording off.
	File string `json:"file"`
	// MaxSize is the size at which the recording ends. Default "64MiB".
	MaxSize document.Size `json:"max_size"`
}

// checkPeers checks what a process needs to talk to other entry hosts. A
// process without peer_listen runs alone.
func (s *Settings) checkPeers() error {
	if s.PeerListen == "" {
		if len(s.Peers) > 0 || s.Keys != (Keys{}) {
			return errors.New("peer_listen: is needed with peers or keys")
		}
		return nil
	}
	if err := checkHostAddress(s.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	for name, file := range map[string]string{"ca": s.Keys.CA, "certificate": s.Keys.Certificate, "key": s.Keys.Key} {
		if file == "" {
			return fmt.Errorf("keys.%s: is needed with peer_listen", name)
		}
	}
	if len(s.Peers) > maxPeers {
		return fmt.Errorf("peers: more than %d", maxPeers)
	}
	for i, address := range s.Peers {
		if err := checkHostAddress(address); err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
	}
	return nil
}

// checkHostAddress demands an IP address that other hosts can reach: the
// address is told to them, and certificates name addresses, not names.
func checkHostAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return fmt.Errorf("%q must be the IP address of one host", host)
	}
	return nil
}
