// Package load implements a bounded, open-loop load generator. Requests start
// at fixed intervals whether or not earlier ones have completed, and latency is
// measured from the scheduled start of a request, so that a stalled server
// cannot hide its own delay (coordinated omission).
package load

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// Upper bounds on the fields of a Plan.
const (
	MaxRequests = 1_000_000
	MaxDuration = 10 * time.Minute
	MaxRate     = 50_000 // requests per second
	MaxInFlight = 4096
)

// Target is a URL that receives requests. Results are grouped by Label.
type Target struct {
	Label string
	URL   string
}

// Plan describes a load run. A run ends after Requests requests or after
// Duration, whichever comes first.
type Plan struct {
	// Targets receive the requests in round-robin order.
	Targets []Target
	Method  string
	Header  http.Header
	Body    []byte
	// Rate is the number of requests started per second.
	Rate float64
	// Requests is the number of requests, including dropped ones, after which the
	// run ends.
	Requests int
	// Duration is the time after which the run ends.
	Duration time.Duration
	// InFlight bounds the number of concurrent requests. A request that is due
	// while the bound is reached is not sent and counts as dropped.
	InFlight int
	// Timeout bounds the duration of one request.
	Timeout time.Duration
	// AllowRemote permits targets that are not on loopback.
	AllowRemote bool
}

// PlanError reports an invalid Plan. Field is the name of the invalid field, or
// the URL of the target or the address of the connection that was rejected.
type PlanError struct {
	Field  string
	Reason string
}

func (e *PlanError) Error() string { return e.Field + ": " + e.Reason }

// Validate returns a PlanError if the plan is incomplete, exceeds the upper
// bounds, or has a target outside loopback without AllowRemote.
func (p *Plan) Validate() error {
	if len(p.Targets) == 0 {
		return &PlanError{"targets", "at least one is required"}
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

// isLoopback reports whether host is a loopback address or the name localhost.
// Other names are rejected without a lookup, since they may resolve to a
// different address when the connection is made.
func isLoopback(host string) bool {
	if host == "localhost" {
		return true
	}
	address, err := netip.ParseAddr(host)
	return err == nil && address.IsLoopback()
}

// checkConnection returns an error if conn leaves loopback without AllowRemote.
// It runs on each connection because localhost may resolve to any address.
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
