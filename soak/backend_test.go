package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wisteriapond/platform"
	"wisteriapond/platform/platformtest"
)

const (
	slots        = 4
	workDuration = 20 * time.Millisecond
	probePath    = "/health"
)

// recorder records what ran, and what callers were told.
type recorder struct {
	mu sync.Mutex
	// runs counts the runs of each request, and lastRun is the instant of the
	// last one of each backend server.
	runs       map[string]int
	lastRun    map[string]time.Time
	rejected   map[string]bool
	violations []string
}

func newRecorder() *recorder {
	return &recorder{runs: make(map[string]int), lastRun: make(map[string]time.Time), rejected: make(map[string]bool)}
}

func (l *recorder) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// recordRun notes a run. Orders, whose names begin with "o", run at most once, and
// nothing runs that was refused.
func (l *recorder) recordRun(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.lastRun[server] = time.Now()
	if strings.HasPrefix(id, "o") && l.runs[id] > 1 {
		l.violations = append(l.violations, fmt.Sprintf("order %s ran %d times", id, l.runs[id]))
	}
	if l.rejected[id] {
		l.violations = append(l.violations, fmt.Sprintf("%s ran after it was refused as not run", id))
	}
}

func (l *recorder) recordRejected(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected[id] = true
	if l.runs[id] > 0 {
		l.violations = append(l.violations, fmt.Sprintf("%s was refused as not run and had run", id))
	}
}

func (l *recorder) runCount(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *recorder) lastRunAt(server string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRun[server]
}

// backend is a backend server behind a proxy. It registers the address of the
// proxy.
type backend struct {
	store   *platformtest.Store
	ledger  *recorder
	server  *http.Server
	proxy   *proxy
	entry   platformtest.Server
	running atomic.Int64
	// droppingResponses makes the server run requests and lose every other answer.
	droppingResponses atomic.Bool
	dropCounter       atomic.Int64
}

func newBackend(store *platformtest.Store, l *recorder, id string) (*backend, error) {
	b := &backend{store: store, ledger: l}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if b.proxy, err = newProxy(listener.Addr().String()); err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: b}
	go b.server.Serve(listener)
	b.entry = platformtest.Server{
		ID: id, Service: "s1", Address: b.proxy.address(), Zone: "mtl-a", Slots: slots, Born: uint64(time.Now().UnixMilli()),
	}
	store.Register(b.entry)
	return b, nil
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := platform.Dialect()
	w.Header().Set(d.RespondingInstance, b.entry.ID)
	w.Header().Set(d.Load, fmt.Sprintf("%d,0,%d,100", b.running.Load(), slots))
	if r.URL.Path == probePath {
		return
	}
	id := r.Header.Get(d.RequestID)
	w.Header().Set(d.RequestID, id)
	io.Copy(io.Discard, r.Body)
	if r.Header.Get(d.Instance) != b.entry.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.running.Add(1) > slots {
		b.running.Add(-1)
		form := platform.NotRun()
		w.Header().Set(form.Header, form.Value)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	b.ledger.recordRun(id, b.entry.ID)
	time.Sleep(workDuration)
	if b.droppingResponses.Load() && b.dropCounter.Add(1)%2 == 0 {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, responseBody(id))
}

// responseBody is the body that belongs to a request.
func responseBody(id string) string { return "answer to " + id }

// markLeaving declares the server as leaving.
func (b *backend) markLeaving() {
	b.entry.Draining = true
	b.store.Register(b.entry)
}

func (b *backend) close() {
	b.proxy.close()
	b.server.Close()
}
