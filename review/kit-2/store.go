package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems bounds the items in one page of a listing, and maxWait the wait of a watch.
const (
	pageItems = 500
	maxWait   = 30 * time.Second
)

// item is an entry of the store, or in a watch the change or removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a sound stand-in of the platform's store.
type store struct {
	names    *names
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore(n *names) (*store, error) {
	s := &store{names: n, revision: 1, items: make(map[string]item), changed: make(chan struct{})}
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.KeyPath, s.serveKey)
	mux.HandleFunc("GET "+n.RangePath, s.serveRange)
	mux.HandleFunc("GET "+n.WatchPath, s.serveWatch)
	go http.Serve(s.listener, mux)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a value. The time of its return is that of the acknowledgement.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if known, ok := s.items[key]; ok {
		created = known.Created
	}
	s.items[key] = item{Key: key, Value: raw, Revision: s.revision, Created: created}
	s.note(s.items[key])
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) note(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.respond(w, map[string]any{
		"key": found.Key, "value": found.Value, "revision": found.Revision, "created": found.Created, "lease": 0,
		s.names.AtRevision: s.revision,
	})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, query.Get("prefix")) || key <= query.Get("after") {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	s.respond(w, map[string]any{"items": items, s.names.More: more, s.names.AtRevision: s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get(s.names.Wait))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(min(maxWait, time.Duration(wait)*time.Millisecond))
	for {
		s.mu.Lock()
		events := []item{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				events = append(events, change)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		s.respond(w, map[string]any{"events": events, s.names.AtRevision: revision})
		return
	}
}

// limits are the limits on callers in a configuration.
type limits struct {
	headerBytes, bodyBytes, headerLimitMs, idleLimitMs int
}

// route is a route to one service.
type route struct {
	name, host, prefix, kind string
	limitMs, aimMs           int
	attempts                 int
	service                  string
}

// publish writes a configuration.
func (s *store) publish(version int, l limits, connections int, routes ...route) {
	n := s.names
	var rows, services [][]any
	known := make(map[string]bool)
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.limitMs, r.aimMs, r.attempts, 1, r.service})
		if !known[r.service] {
			known[r.service] = true
			services = append(services, []any{r.service, n.HealthPath, connections})
		}
	}
	s.put(n.ConfigKey, map[string]any{
		"version":  version,
		"routes":   map[string]any{"columns": n.RouteColumns, "rows": rows},
		"services": map[string]any{"columns": n.ServiceColumns, "rows": services},
		"limits": map[string]any{
			n.HeaderBytes: l.headerBytes, n.BodyBytes: l.bodyBytes, n.HeaderTimeout: l.headerLimitMs, n.IdleTimeout: l.idleLimitMs,
		},
	})
}

// register writes the entry of a server.
func (s *store) register(id, service, address, zone string, slots int, state string, sequence int, born int64) {
	s.put(s.names.ServerPrefix+id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
		"state": state, s.names.WarmUp: 0, "sequence": sequence, "born": born,
	})
}
