package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Status and header of a response by which the stand-in reports that it did not
// run a request.
const (
	NotRunStatus = http.StatusServiceUnavailable
	NotRunHeader = "X-Not-Run"
	NotRunValue  = "1"
)

// ProbePath is the path of the endpoint that reports readiness and load without
// occupying a slot.
const ProbePath = "/probe"

const (
	downloadPrefix = "/files/"
	// DownloadBytes is the size of the response body at /files/.
	DownloadBytes      = 64 << 20
	downloadChunkBytes = 64 << 10
	// truncatedContentLength is the Content-Length of a truncated response,
	// which is longer than the body that follows.
	truncatedContentLength = 1000
)

// Behaviour selects the faults that a Backend simulates. The zero value is a
// backend server without faults.
type Behaviour struct {
	// ExtraDelay is added to Backend.Delay.
	ExtraDelay time.Duration `json:"extra_delay"`
	// Draining rejects new requests as not run and announces that the server is
	// leaving. Requests in flight complete.
	Draining bool `json:"draining"`
	// Shedding rejects every request as not run.
	Shedding bool `json:"shedding"`
	// FailFast responds to every request immediately with status 500.
	FailFast bool `json:"fail_fast"`
	// Truncate closes the connection in the middle of each response body.
	Truncate bool `json:"truncate"`
	// ReadAndClose reads and runs each request, then closes the connection
	// without a response.
	ReadAndClose bool `json:"read_and_close"`
	// MisleadingLoad reports a load of 0 regardless of the running requests.
	MisleadingLoad bool `json:"misleading_load"`
	// WarmUp is the time after a restart during which short requests take
	// longer, initially by WarmUpDelay, decreasing linearly to zero.
	WarmUp      time.Duration `json:"cold_for"`
	WarmUpDelay time.Duration `json:"cold_delay"`
}

// Backend simulates a backend server with a fixed number of slots. It rejects
// requests that exceed the slots as not run.
type Backend struct {
	// Name is the name of the server in its responses.
	Name string
	// Slots is the number of requests that may run concurrently.
	Slots int
	// Delay is the processing time of a short request: one outside /files/.
	Delay time.Duration

	running atomic.Int64
	peak    atomic.Int64
	probes  atomic.Int64
	// mu guards the fields below.
	mu sync.Mutex
	// runs is the number of runs by X-Request header.
	runs      map[string]int
	behaviour Behaviour
	// started is the start of the warm-up period.
	started time.Time
}

// NewBackend returns a backend server without faults. Its warm-up period starts
// now.
func NewBackend(name string, slots int, delay time.Duration) *Backend {
	return &Backend{Name: name, Slots: slots, Delay: delay, runs: make(map[string]int), started: time.Now()}
}

// ServeHTTP implements http.Handler. The response to paths below /files/ has
// DownloadBytes bytes; the response to all other paths is one line with the name
// of the server.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	behaviour := b.Behaviour()
	if r.URL.Path == ProbePath {
		b.serveProbe(w, behaviour)
		return
	}
	running := b.running.Add(1)
	defer b.running.Add(-1)
	b.setLoadHeader(w, running, behaviour)
	switch {
	case behaviour.Draining:
		w.Header().Set("Wisteriapond-Draining", "1")
		rejectNotRun(w, "draining")
	case behaviour.Shedding:
		rejectNotRun(w, "shedding load")
	case running > int64(b.Slots):
		rejectNotRun(w, "all slots are taken")
	default:
		b.run(w, r, running, behaviour)
	}
}

// Behaviour returns the current behaviour of the server.
func (b *Backend) Behaviour() Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behaviour
}

// UpdateBehaviour calls change with the current behaviour of the server, which
// it may modify.
func (b *Backend) UpdateBehaviour(change func(*Behaviour)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.behaviour)
}

// Restart starts a new warm-up period, as after a restart of the server.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = time.Now()
}

// Runs returns the number of times that the request with the given X-Request
// header ran.
func (b *Backend) Runs(request string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[request]
}

// Running returns the number of requests in flight, including those that are
// being rejected.
func (b *Backend) Running() int { return int(b.running.Load()) }

// Peak returns the highest number of requests that ran concurrently.
func (b *Backend) Peak() int { return int(b.peak.Load()) }

// Probes returns the number of calls to the probe endpoint.
func (b *Backend) Probes() int { return int(b.probes.Load()) }

// DownloadByteAt returns the byte of the response body at /files/ at an offset.
func DownloadByteAt(offset int) byte {
	return byte(offset * 31 >> 3)
}

func rejectNotRun(w http.ResponseWriter, reason string) {
	w.Header().Set(NotRunHeader, NotRunValue)
	http.Error(w, reason, NotRunStatus)
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request, running int64, behaviour Behaviour) {
	b.updatePeak(running)
	b.countRun(r.Header.Get("X-Request"))
	if behaviour.FailFast {
		http.Error(w, "fails fast", http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(r.URL.Path, downloadPrefix) {
		b.serveDownload(w, behaviour)
		return
	}
	body, err := io.ReadAll(r.Body)
	// Aborted work must not end in a response that looks complete.
	if err != nil || !b.simulateWork(r, behaviour) || behaviour.ReadAndClose {
		panic(http.ErrAbortHandler)
	}
	if behaviour.Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(truncatedContentLength))
	}
	fmt.Fprintf(w, "%s %s %s %d bytes\n", b.Name, r.Method, r.URL.Path, len(body))
	if behaviour.Truncate {
		panic(http.ErrAbortHandler)
	}
}

// simulateWork waits for the processing time of a short request. It reports
// whether the work completed before the client disconnected and before the
// timeout in the Wisteriapond-Timeout header expired.
func (b *Backend) simulateWork(r *http.Request, behaviour Behaviour) bool {
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Wisteriapond-Timeout")); err == nil && ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	return sleep(ctx, b.Delay+behaviour.ExtraDelay+b.warmUpDelay(behaviour))
}

func (b *Backend) warmUpDelay(behaviour Behaviour) time.Duration {
	b.mu.Lock()
	left := behaviour.WarmUp - time.Since(b.started)
	b.mu.Unlock()
	if left <= 0 {
		return 0
	}
	return time.Duration(float64(behaviour.WarmUpDelay) * float64(left) / float64(behaviour.WarmUp))
}

func (b *Backend) serveProbe(w http.ResponseWriter, behaviour Behaviour) {
	b.probes.Add(1)
	b.setLoadHeader(w, b.running.Load(), behaviour)
	if behaviour.Draining {
		w.Header().Set("Wisteriapond-Draining", "1")
	}
	writeJSON(w, map[string]any{"server": b.Name, "ready": !behaviour.Draining, "slots": b.Slots})
}

func (b *Backend) setLoadHeader(w http.ResponseWriter, running int64, behaviour Behaviour) {
	if behaviour.MisleadingLoad {
		running = 0
	}
	w.Header().Set("Wisteriapond-Load", strconv.FormatInt(running, 10))
}

func (b *Backend) updatePeak(running int64) {
	for {
		peak := b.peak.Load()
		if running <= peak || b.peak.CompareAndSwap(peak, running) {
			return
		}
	}
}

func (b *Backend) countRun(request string) {
	if request == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[request]++
}

func (b *Backend) serveDownload(w http.ResponseWriter, behaviour Behaviour) {
	w.Header().Set("Content-Length", strconv.Itoa(DownloadBytes))
	chunk := make([]byte, downloadChunkBytes)
	for sent := 0; sent < DownloadBytes; sent += len(chunk) {
		if behaviour.Truncate && sent >= DownloadBytes/2 {
			panic(http.ErrAbortHandler)
		}
		for i := range chunk {
			chunk[i] = DownloadByteAt(sent + i)
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// sleep waits for d or until ctx is done. It reports whether d elapsed first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
