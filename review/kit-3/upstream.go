package main

import (
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"wisteriapond/platform/platformtest"
)

const (
	probePath     = "/health"
	upstreamSlots = 4
)

// upstream is a sound backend server. It runs up to upstreamSlots requests at a time,
// and works on each for the time that its path names (/work/MILLISECONDS).
type upstream struct {
	id     string
	names  names
	record *record
	server *http.Server
	entry  platformtest.Server

	mu      sync.Mutex
	running int
}

// startUpstreams starts n upstreams of a service.
func (d *deployment) startUpstreams(service string, n int) error {
	for i := range n {
		if _, err := d.startUpstream(fmt.Sprintf("i-%s-%d", service, i+1), service); err != nil {
			return err
		}
	}
	return nil
}

// startUpstream starts an upstream of a service and registers it.
func (d *deployment) startUpstream(id, service string) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("upstream %s: %w", id, err)
	}
	u := &upstream{id: id, names: d.names, record: d.record}
	u.entry = platformtest.Server{
		ID: id, Service: service, Address: l.Addr().String(), Zone: domain, Slots: upstreamSlots, Born: uint64(time.Now().UnixMilli()),
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go u.server.Serve(l)
	d.store.Register(u.entry)
	return u, nil
}

// ServeHTTP answers one request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == probePath {
		h.Set(u.names.Instance, u.id)
		h.Set(u.names.Load, u.load())
		return
	}
	id := r.Header.Get(u.names.RequestID)
	h.Set(u.names.RequestID, id)
	switch {
	case id == "":
		u.reject(w, http.StatusBadRequest)
		return
	case r.Header.Get(u.names.Target) != u.id:
		u.reject(w, http.StatusMisdirectedRequest)
		return
	case !u.begin():
		u.reject(w, http.StatusServiceUnavailable)
		return
	}
	u.record.add("upstream %s runs %s", u.id, id)
	select {
	case <-time.After(workOf(r.URL.Path)):
	case <-r.Context().Done():
		// Most upstreams drop a request when its connection closes.
		u.end()
		u.record.add("upstream %s drops %s: its connection was closed", u.id, id)
		return
	}
	h.Set(u.names.Load, u.load())
	u.end()
	body := bodyOf(id, r.URL.Query().Get("bytes"))
	h.Set(u.names.Signature, signatureOf(body))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	u.record.add("upstream %s answers %s", u.id, id)
	fmt.Fprint(w, body)
}

// reject answers a request without running it.
func (u *upstream) reject(w http.ResponseWriter, status int) {
	w.Header().Set(u.names.NotRun, "1")
	w.WriteHeader(status)
}

func (u *upstream) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running == upstreamSlots {
		return false
	}
	u.running++
	return true
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", u.running, upstreamSlots)
}

// workOf returns the work that a path asks for.
func workOf(path string) time.Duration {
	_, last, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	ms, err := strconv.Atoi(last)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// bodyOf returns the body of an answer, of the size that a request asks for.
func bodyOf(id, size string) string {
	text := "answer to " + id + "\n"
	if n, err := strconv.Atoi(size); err == nil {
		return strings.Repeat(text, n/len(text)+1)[:n]
	}
	return text
}

func signatureOf(body string) string {
	h := fnv.New64a()
	h.Write([]byte(body))
	return strconv.FormatUint(h.Sum64(), 16)
}
