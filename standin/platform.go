// Package standin has small stand-ins for the platform and for backend
// servers. The demo and the tests use them.
package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"wisteriapond/document"
)

// HostEntry is one line of the host list.
type HostEntry struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Role          string `json:"role"`
	Epoch         uint64 `json:"epoch"`
	State         string `json:"state"`
}

// hostList is a host list and the time from which on it is true.
type hostList struct {
	validFrom time.Time
	hosts     []HostEntry
}

// Platform stands in for the configuration service and the list of hosts. It
// is an http.Handler. It can be down, answer late, serve an older
// configuration and serve a host list that lags.
type Platform struct {
	mux *http.ServeMux

	mu        sync.Mutex
	values    map[string][]byte
	stale     map[string][]byte
	hostLists []hostList
	hostLag   time.Duration
	changed   chan struct{}
	down      bool
	delay     time.Duration
	calls     int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{
		mux:       http.NewServeMux(),
		values:    make(map[string][]byte),
		hostLists: []hostList{{hosts: []HostEntry{}}},
		changed:   make(chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/values/{key...}", p.serveValue)
	p.mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	return p
}

// ServeHTTP serves the calls of the published protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	down, delay := p.down, p.delay
	p.mu.Unlock()
	if !sleep(r.Context(), delay) {
		return
	}
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
	p.notifyWatchers()
}

// PublishConfiguration stores the service parts, by name, and a manifest that
// names them.
func (p *Platform) PublishConfiguration(generation uint64, parts map[string][]byte, extra map[string]any) {
	hashes := make(map[string]string, len(parts))
	for name, raw := range parts {
		p.Publish(document.PartKey(name), raw)
		hashes[name] = string(document.HashOf(raw))
	}
	manifest := map[string]any{"generation": generation, "services": hashes}
	maps.Copy(manifest, extra)
	raw, err := json.Marshal(manifest)
	if err != nil {
		panic(fmt.Sprintf("manifest of plain values: %v", err))
	}
	p.Publish(document.ManifestKey, raw)
}

// Value returns the published value of a key, or nil.
func (p *Platform) Value(key string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key]
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLists = append(p.hostLists, hostList{validFrom: time.Now(), hosts: hosts})
}

// Hosts returns the true list of hosts, without the lag.
func (p *Platform) Hosts() []HostEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hostLists[len(p.hostLists)-1].hosts)
}

// SetHostState sets the state of one host and raises its epoch. It reports whether
// the host is known.
func (p *Platform) SetHostState(host, state string) bool {
	hosts := p.Hosts()
	for i := range hosts {
		if hosts[i].Host == host {
			hosts[i].State = state
			hosts[i].Epoch++
			p.SetHosts(hosts)
			return true
		}
	}
	return false
}

// SetHostLag makes the host list lag behind the truth.
func (p *Platform) SetHostLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLag = lag
}

// SetDown makes every call fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetDelay delays every answer.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetStale freezes the values that calls see, or shows the published ones
// again.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = nil
	if stale {
		p.stale = maps.Clone(p.values)
	}
	p.notifyWatchers()
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) value(key string) (raw []byte, etag string, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw = p.values[key]
	if p.stale != nil {
		raw = p.stale[key]
	}
	return raw, etagOf(raw), p.changed
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

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	raw, err := json.Marshal(map[string]any{"hosts": p.visibleHosts(time.Now())})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := etagOf(raw)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Write(raw)
}

func etagOf(raw []byte) string { return `"` + string(document.HashOf(raw)) + `"` }

// visibleHosts returns the list that was true before the lag, and forgets the
// ones that no call can see any more.
func (p *Platform) visibleHosts(now time.Time) []HostEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := 0
	for i, list := range p.hostLists {
		if !list.validFrom.After(now.Add(-p.hostLag)) {
			visible = i
		}
	}
	p.hostLists = p.hostLists[visible:]
	return p.hostLists[0].hosts
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
