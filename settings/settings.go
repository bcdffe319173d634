// Package settings holds the static settings of one process.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"wisteriapond/document"
)

// DefaultAcceptFor is the time for which a stopping process goes on accepting.
const DefaultAcceptFor = 10 * time.Second

// Settings are read once, from a file in JSON with comments.
type Settings struct {
	// Host is the name of this entry host.
	Host string `json:"host"`
	// Region and FailureDomain say where this host stands.
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Listen is the address for callers.
	Listen string `json:"listen"`
	// Admin is the address for operators. Default "127.0.0.1:0".
	Admin string `json:"admin"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// AcceptFor is the time for which the listener stays open after SIGTERM.
	// Default "10s".
	AcceptFor document.Duration `json:"accept_for"`
	// StopTimeout bounds the wait for requests in flight after SIGTERM.
	// Default "0s": no bound.
	StopTimeout document.Duration `json:"stop_timeout"`
	// PeerListen is the UDP address for other entry hosts. Default "": the
	// process runs alone.
	PeerListen string `json:"peer_listen"`
	// Peers are the addresses of other entry hosts to contact first.
	Peers []string `json:"peers"`
	Keys  Keys     `json:"keys"`
	// Record turns on the recording of events.
	Record Record `json:"record"`
}

// Error says why settings were refused.
type Error struct {
	File string
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("settings %s: %v", e.File, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Err: err}
	}
	s, err := Parse(file, raw)
	if err != nil {
		return nil, &Error{File: file, Err: err}
	}
	return s, nil
}

// Parse reads and checks settings.
func Parse(file string, raw []byte) (*Settings, error) {
	s := &Settings{
		Admin:     "127.0.0.1:0",
		AcceptFor: document.Duration(DefaultAcceptFor),
		Record:    Record{MaxSize: DefaultRecordSize},
	}
	if err := document.Decode(file, raw, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *Settings) check() error {
	for name, value := range map[string]string{
		"host": s.Host, "region": s.Region, "failure_domain": s.FailureDomain, "platform": s.Platform,
	} {
		if value == "" {
			return fmt.Errorf("%s: is needed", name)
		}
	}
	for name, address := range map[string]string{"listen": s.Listen, "admin": s.Admin} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if _, err := url.ParseRequestURI(s.Platform); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	return s.checkPeers()
}
