// Package standin has small stand-ins for the platform and for backend
// servers. The demo and the tests use them.
package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"wisteriapond/document"
)

// HostLine is one line of the host list.
type HostLine struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Epoch         uint64 `json:"epoch"`
	State         string `json:"state"`
}

// Platform stands in for the configuration service and the list of hosts. It
// is an http.Handler.
type Platform struct {
	mux *http.ServeMux

	mu      sync.Mutex
	values  map[string][]byte
	hosts   []HostLine
	changed chan struct{}
	down    bool
	calls   int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		values:  make(map[string][]byte),
		changed: make(chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/values/{key...}", p.serveValue)
	p.mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	return p
}

// ServeHTTP serves the calls of the published protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	down := p.down
	p.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// Publish stores a value and ends the watches on it.
func (p *Platform) Publish(key string, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = raw
	close(p.changed)
	p.changed = make(chan struct{})
}

// PublishConfiguration stores the service parts, by name, and a manifest that
// names them.
func (p *Platform) PublishConfiguration(generation uint64, parts map[string][]byte, more map[string]any) {
	hashes := make(map[string]string, len(parts))
	for name, raw := range parts {
		p.Publish("services/"+name, raw)
		hashes[name] = string(document.HashOf(raw))
	}
	manifest := map[string]any{"generation": generation, "services": hashes}
	for key, value := range more {
		manifest[key] = value
	}
	raw, err := json.Marshal(manifest)
	if err != nil {
		panic(fmt.Sprintf("manifest of plain values: %v", err))
	}
	p.Publish("manifest", raw)
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []HostLine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// Declare sets the state of one host and raises its epoch.
func (p *Platform) Declare(host, state string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.hosts {
		if p.hosts[i].Host == host {
			p.hosts[i].State = state
			p.hosts[i].Epoch++
			return true
		}
	}
	return false
}

// SetDown makes every call fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) value(key string) (raw []byte, etag string, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw = p.values[key]
	return raw, `"` + string(document.HashOf(raw)) + `"`, p.changed
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	raw, etag, changed := p.value(key)
	if wait, err := time.ParseDuration(r.URL.Query().Get("wait")); err == nil {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for etag == r.Header.Get("If-None-Match") {
			select {
			case <-changed:
				raw, etag, changed = p.value(key)
			case <-timer.C:
				w.WriteHeader(http.StatusNotModified)
				return
			case <-r.Context().Done():
				return
			}
		}
	}
	if raw == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", etag)
	w.Write(raw)
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{"hosts": p.hosts})
}
