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

// Outcomes of requests, as the caller sees them.
const (
	Answered = "answered"
	NotRun   = "not-run"
	Unknown  = "unknown"
	// Failed means that no answer came at all.
	Failed = "failed"
)

// outcomeHeader is set on the load balancer's own answers.
const outcomeHeader = "Wisteriapond-Outcome"

// Run carries out a plan and returns its results. It returns early with what
// it has when ctx is done.
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
	plan     Plan
	client   *http.Client
	results  *Results
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

// startRequests starts each request at its instant. After a delay it catches up, since
// the requests were due all the same.
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
	return Answered, upstream
}
