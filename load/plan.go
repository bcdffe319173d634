// Package load is a bounded load tool. It is open loop: requests start at
// fixed instants whether or not earlier ones have been answered, and latency
// counts from the instant at which a request was due, so that a stalled server
// does not hide its own delay.
package load

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// Bounds of a plan.
const (
	MaxRequests = 1_000_000
	MaxDuration = 10 * time.Minute
	MaxRate     = 50_000 // requests per second
	MaxInFlight = 4096
)

// Target is an address that gets requests. Results are kept by its label.
type Target struct {
	Label string
	URL   string
}

// Plan says what to send. It ends when Requests were sent or Duration is over.
type Plan struct {
	// Targets get the requests in turn.
	Targets []Target
	Method  string
	Header  http.Header
	Body    []byte
	// Rate is the number of requests that start per second.
	Rate     float64
	Requests int
	Duration time.Duration
	// InFlight bounds the requests under way. A request that is due beyond it
	// is counted as dropped and not sent.
	InFlight int
	// Timeout bounds one request.
	Timeout time.Duration
	// AllowRemote permits targets that are not on loopback.
	AllowRemote bool
}

// PlanError says which part of a plan is refused and why.
type PlanError struct {
	Field  string
	Reason string
}

func (e *PlanError) Error() string { return e.Field + ": " + e.Reason }

// Validate refuses a plan that is not bounded or leaves loopback unasked.
func (p *Plan) Validate() error {
	if len(p.Targets) == 0 {
		return &PlanError{"targets", "at least one is needed"}
	}
	if p.Rate <= 0 || p.Rate > MaxRate {
		return &PlanError{"rate", fmt.Sprintf("must be above 0 and at most %d a second", MaxRate)}
	}
	if p.Requests < 1 || p.Requests > MaxRequests {
		return &PlanError{"requests", fmt.Sprintf("must be between 1 and %d", MaxRequests)}
	}
	if p.Duration <= 0 || p.Duration > MaxDuration {
		return &PlanError{"duration", fmt.Sprintf("must be above 0 and at most %v", MaxDuration)}
	}
	if p.InFlight < 1 || p.InFlight > MaxInFlight {
		return &PlanError{"in-flight", fmt.Sprintf("must be between 1 and %d", MaxInFlight)}
	}
	if p.Timeout <= 0 || p.Timeout > MaxDuration {
		return &PlanError{"timeout", fmt.Sprintf("must be above 0 and at most %v", MaxDuration)}
	}
	for _, target := range p.Targets {
		if err := p.validateTarget(target); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) validateTarget(target Target) error {
	parsed, err := url.Parse(target.URL)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
		return &PlanError{target.URL, "must be a URL such as \"http://127.0.0.1:8080/path\""}
	}
	if p.AllowRemote || isLoopback(parsed.Hostname()) {
		return nil
	}
	return &PlanError{target.URL, "is not on loopback; --allow-remote permits it"}
}

// isLoopback accepts addresses and the name localhost, but no other name: what
// a name server answers now it need not answer again when connecting.
func isLoopback(host string) bool {
	if host == "localhost" {
		return true
	}
	address, err := netip.ParseAddr(host)
	return err == nil && address.IsLoopback()
}

// checkConnection holds each connection to the rule, whatever localhost
// resolves to.
func (p *Plan) checkConnection(conn net.Conn) error {
	if p.AllowRemote {
		return nil
	}
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok || !remote.IP.IsLoopback() {
		return &PlanError{conn.RemoteAddr().String(), "is not on loopback"}
	}
	return nil
}
