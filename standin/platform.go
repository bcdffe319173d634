// Package standin implements stand-ins for the platform and for backend servers,
// for use by the demo and by tests.
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

// HostEntry is an entry of the host list.
type HostEntry struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Role is "backend" or "entry".
	Role string `json:"role"`
	// Epoch increases with each change of State.
	Epoch uint64 `json:"epoch"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// hostList is a version of the host list and the time at which it was set.
type hostList struct {
	validFrom time.Time
	hosts     []HostEntry
}

// Platform simulates the configuration service and the host list of the
// platform. It can be down, delay its responses, serve a stale configuration and
// serve a lagging host list.
type Platform struct {
	mux *http.ServeMux

	// mu guards the fields below.
	mu sync.Mutex
	// values holds the published values by key.
	values map[string][]byte
	// stale replaces values in responses if it is not nil.
	stale map[string][]byte
	// hostLists holds the versions of the host list, oldest first.
	hostLists []hostList
	hostLag   time.Duration
	// changed is closed and replaced when a value may have changed.
	changed chan struct{}
	down    bool
	delay   time.Duration
	// calls is the number of calls received.
	calls int
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

// ServeHTTP implements http.Handler with the calls that entry hosts make to the
// platform.
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

// Publish stores a value. Pending long polls for its key end if the value has
// changed.
func (p *Platform) Publish(key string, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = raw
	p.notifyWatchers()
}

// PublishConfiguration stores service parts, by service name, and then a manifest
// that refers to them. The entries of extra are added to the manifest.
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

// Value returns the last published value of a key, or nil if there is none.
func (p *Platform) Value(key string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key]
}

// SetHosts replaces the host list. Calls see it after the lag of SetHostLag.
func (p *Platform) SetHosts(hosts []HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLists = append(p.hostLists, hostList{validFrom: time.Now(), hosts: hosts})
}

// Hosts returns the current host list, without the lag.
func (p *Platform) Hosts() []HostEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hostLists[len(p.hostLists)-1].hosts)
}

// SetHostState sets the state of a host and increments its epoch. It reports
// whether the host is in the list.
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

// SetHostLag sets the time by which the served host list lags behind the current
// one. The default is 0.
func (p *Platform) SetHostLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLag = lag
}

// SetDown sets whether every call fails with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetDelay sets the delay of every response. The default is 0.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetStale freezes the values that calls see at their current state, or makes
// the last published values visible again.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = nil
	if stale {
		p.stale = maps.Clone(p.values)
	}
	p.notifyWatchers()
}

// Calls returns the number of calls received.
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

// visibleHosts returns the host list that was current one lag before now, and
// discards older versions.
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
