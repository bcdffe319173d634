// Package settings parses and checks the settings file of one process.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"wisteriapond/config"
	"wisteriapond/document"
	"wisteriapond/intake"
	"wisteriapond/label"
)

// Default values of settings.
const (
	// DefaultAdminAddress is on loopback: the admin listener has no authentication.
	DefaultAdminAddress = "127.0.0.1:9190"
	// DefaultAcceptFor is the time for which a stopping process keeps accepting
	// connections.
	DefaultAcceptFor = 10 * time.Second
	// KillMargin is the time that a stopping process needs to deliver the last
	// responses and to exit.
	KillMargin = 500 * time.Millisecond
)

// Limits of settings.
const (
	maxAcceptFor   = time.Hour
	maxStopTimeout = 7 * 24 * time.Hour
)

// Settings are the settings of one process, read at startup from a JSON file
// with comments. A host with a store also applies later changes of some of the
// store settings. docs/settings.md lists every field.
type Settings struct {
	// Host is the name of this entry host.
	Host string `json:"host"`
	// Region and FailureDomain are the location of this host.
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Listen is the address at which callers connect.
	Listen string `json:"listen"`
	// Admin is the address of the admin listener. Default
	// DefaultAdminAddress.
	Admin string `json:"admin"`
	// Platform is the base URL of the configuration service and the host list.
	// It is required unless Store.Address is set.
	Platform string `json:"platform"`
	// Store configures a store that replaces Platform.
	Store Store `json:"store"`
	// ResponseBuffer is the size up to which responses are buffered completely,
	// so that a truncated one can be retried. Default "64KiB".
	ResponseBuffer document.Size `json:"hold_answers"`
	// UnsizedLimit is the size beyond which a response whose length was not
	// announced is aborted. Default "1GiB".
	UnsizedLimit document.Size `json:"unsized_limit"`
	// AcceptFor is the time for which the listener stays open after SIGTERM.
	// Default DefaultAcceptFor.
	AcceptFor document.Duration `json:"accept_for"`
	// StopTimeout bounds the wait for requests in flight after SIGTERM.
	// Default "0s": no limit.
	StopTimeout document.Duration `json:"stop_timeout"`
	// KillAfter is the time after SIGTERM at which the platform kills the process.
	// A stop ends all requests by KillMargin before it. Default "0s": the platform
	// does not kill the process.
	KillAfter document.Duration `json:"kill_after"`
	// Profiling enables /debug/pprof on the admin listener. Default false.
	Profiling bool `json:"profiling"`
	// PeerListen is the UDP address at which peers reach this host. Default "":
	// the process has no peers.
	PeerListen string `json:"peer_listen"`
	// Peers are the addresses of the entry hosts to contact first.
	Peers []string `json:"peers"`
	// Keys names the files for mutual TLS with peers.
	Keys Keys `json:"keys"`
	// Record configures the recording of events.
	Record Recording `json:"record"`
	// Limits are the limits of the process.
	Limits Limits `json:"limits"`
}

// Defaults returns the default settings.
func Defaults() *Settings {
	return &Settings{
		Admin:     DefaultAdminAddress,
		AcceptFor: document.Duration(DefaultAcceptFor),
		Record:    Recording{MaxSize: DefaultMaxRecordingBytes},

		ResponseBuffer: DefaultResponseBufferBytes,
		UnsizedLimit:   DefaultUnsizedBytes,
		Store:          defaultStore(),
		Limits:         Limits{Descriptors: intake.DefaultDescriptors, Pipelined: defaultPipelined},
	}
}

// StopLimit returns the time after AcceptFor at which a stop ends the requests that
// are still in flight, 0 for no limit.
func (s *Settings) StopLimit() time.Duration {
	limit := time.Duration(s.StopTimeout)
	if s.KillAfter == 0 {
		return limit
	}
	beforeKill := time.Duration(s.KillAfter-s.AcceptFor) - KillMargin
	if limit == 0 {
		return beforeKill
	}
	return min(limit, beforeKill)
}

// Load reads, parses and checks a settings file. The error is a *document.Error.
func Load(file string) (*Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, &document.Error{Problems: []config.Problem{{Document: file, Reason: err.Error()}}}
	}
	return Parse(file, raw)
}

// Parse parses and checks settings. The error is a *document.Error that names
// file.
func Parse(file string, raw []byte) (*Settings, error) {
	s := Defaults()
	source, err := document.Decode(file, raw, s)
	if err != nil {
		return nil, err
	}
	s.check(source)
	if err := source.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check(source *document.Source) {
	checkName(source, "host", s.Host)
	checkName(source, "region", s.Region)
	checkName(source, "failure_domain", s.FailureDomain)
	checkAddress(source, "listen", s.Listen)
	checkAddress(source, "admin", s.Admin)
	if s.Store.Address == "" {
		checkURL(source, "platform", s.Platform)
	}
	s.checkStore(source)
	checkDuration(source, "accept_for", s.AcceptFor, maxAcceptFor)
	checkDuration(source, "stop_timeout", s.StopTimeout, maxStopTimeout)
	checkDuration(source, "kill_after", s.KillAfter, maxStopTimeout)
	if s.KillAfter > 0 && s.KillAfter <= s.AcceptFor+document.Duration(KillMargin) {
		source.Report("kill_after", fmt.Sprintf("must be more than accept_for plus %v, got %v", KillMargin, s.KillAfter))
	}
	s.checkPeers(source)
	s.checkRecording(source)
	s.checkLimits(source)
}

func checkName(source *document.Source, field, name string) {
	if name == "" {
		source.Report(field, "is required")
	} else if !label.ValidKey(name) {
		source.Report(field, fmt.Sprintf("invalid name %q", name))
	}
}

func checkAddress(source *document.Source, field, address string) {
	if address == "" {
		source.Report(field, "is required")
		return
	}
	if _, err := net.ResolveTCPAddr("tcp", literalAddress(address)); err != nil {
		source.Report(field, fmt.Sprintf("must be ADDRESS:PORT with an IP address, got %q", address))
	}
}

// literalAddress returns the address if its host part is empty or an IP address,
// and an invalid address otherwise. Host names are excluded because a check must
// not send DNS queries.
func literalAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil || (host != "" && net.ParseIP(host) == nil) {
		return "invalid"
	}
	return address
}

func checkURL(source *document.Source, field, text string) {
	if text == "" {
		source.Report(field, "is required")
		return
	}
	parsed, err := url.Parse(text)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		source.Report(field, fmt.Sprintf("must be a URL such as \"http://10.0.0.1:8500\", got %q", text))
	}
}

func checkDuration(source *document.Source, field string, value document.Duration, maximum time.Duration) {
	if value < 0 || time.Duration(value) > maximum {
		source.Report(field, fmt.Sprintf("must be between 0s and %v, got %v", maximum, value))
	}
}
