package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Outcomes of requests, as seen by the caller. They are keys of
// Summary.Outcomes.
const (
	// Responded means that a complete response arrived, whatever its status,
	// that the load balancer did not mark as NotRun or Unknown.
	Responded = "answered"
	// NotRun means that the load balancer reported that no backend server ran
	// the request.
	NotRun = "not-run"
	// Unknown means that the load balancer reported that a backend server may
	// have run the request.
	Unknown = "unknown"
	// Failed means that no complete response arrived.
	Failed = "failed"
)

// outcomeHeader is set only on responses that the load balancer generates
// itself.
const outcomeHeader = "Wisteriapond-Outcome"

// Run executes a plan and returns its results. If ctx is done before the plan
// ends, Run returns the results so far.
func Run(ctx context.Context, plan Plan) (*Results, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	client := newClient(&plan)
	defer client.CloseIdleConnections()
	r := &run{plan: plan, client: client, results: newResults(plan), inFlight: make(chan struct{}, plan.InFlight)}
	r.startRequests(ctx)
	r.group.Wait()
	return r.results, nil
}

type run struct {
	plan    Plan
	client  *http.Client
	results *Results
	// inFlight is a semaphore with a capacity of Plan.InFlight.
	inFlight chan struct{}
	group    sync.WaitGroup
}

func newClient(plan *Plan) *http.Client {
	dialer := &net.Dialer{Timeout: plan.Timeout}
	transport := &http.Transport{
		MaxIdleConnsPerHost: plan.InFlight,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if err := plan.checkConnection(conn); err != nil {
				conn.Close()
				return nil, err
			}
			return conn, nil
		},
	}
	return &http.Client{
		Transport:     transport,
		Timeout:       plan.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// startRequests starts each request at its scheduled time. After a stall of the
// generator it starts the overdue requests at once, since their latency counts
// from the scheduled time.
func (r *run) startRequests(ctx context.Context) {
	startedAt := time.Now()
	interval := time.Duration(float64(time.Second) / r.plan.Rate)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := range r.plan.Requests {
		due := startedAt.Add(time.Duration(n) * interval)
		if due.Sub(startedAt) >= r.plan.Duration {
			return
		}
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		r.startRequest(ctx, r.plan.Targets[n%len(r.plan.Targets)], due)
	}
}

func (r *run) startRequest(ctx context.Context, target Target, due time.Time) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.results.recordDropped(target.Label)
		return
	}
	r.group.Go(func() {
		defer func() { <-r.inFlight }()
		outcome, upstream := r.request(ctx, target)
		r.results.record(target.Label, outcome, upstream, time.Since(due))
	})
}

func (r *run) request(ctx context.Context, target Target) (outcome, upstream string) {
	request, err := http.NewRequestWithContext(ctx, r.plan.Method, target.URL, bytes.NewReader(r.plan.Body))
	if err != nil {
		return Failed, ""
	}
	for name, values := range r.plan.Header {
		request.Header[name] = values
	}
	if host := request.Header.Get("Host"); host != "" {
		request.Host = host
	}
	response, err := r.client.Do(request)
	if err != nil {
		return Failed, ""
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Failed, ""
	}
	upstream = response.Header.Get("Wisteriapond-Upstream")
	switch value := response.Header.Get(outcomeHeader); value {
	case NotRun, Unknown:
		return value, upstream
	}
	return Responded, upstream
}
