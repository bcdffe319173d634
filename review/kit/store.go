package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store.
type Store struct {
	// Answer is the time that an answer takes.
	Answer time.Duration
	// StaleBy is how old the answers to stale reads are, in turn.
	StaleBy []time.Duration
	// PageItems is the number of items in a page of a listing.
	PageItems int

	listener net.Listener
	record   *Record

	mu       sync.Mutex
	stale    int
	changed  chan struct{}
	revision int
	history  []storeItem
}

// maxPageItems is the largest number of items in a page.
const maxPageItems = 500

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// NewStore starts an empty store on a free loopback port.
func NewStore(record *Record) (*Store, error) {
	s := &Store{Answer: 4 * time.Millisecond, PageItems: maxPageItems, record: record, changed: make(chan struct{}), revision: 1}
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(names.RangePath, s.serveRange)
	mux.HandleFunc(names.WatchPath, s.serveWatch)
	go http.Serve(s.listener, mux)
	return s, nil
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

func (s *Store) write(item storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision, item.Created, item.at = s.revision, s.revision, time.Now()
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Entry is what an upstream says of itself in the store.
type Entry struct {
	ID, Service, Address, Zone, State string
	Slots                             int
	Sequence                          int
	Born                              int64
}

// Register writes the entry of an upstream.
func (s *Store) Register(e Entry) {
	value, _ := json.Marshal(map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1", "slots": e.Slots,
		"state": e.State, names.WarmUp: 0, "sequence": e.Sequence, "born": e.Born,
	})
	s.write(storeItem{Key: names.ServerPrefix + e.ID, Value: value})
	s.record.Add("store: entry of %s is %s", e.ID, e.State)
}

// Remove deletes the entry of an upstream.
func (s *Store) Remove(id string) {
	s.write(storeItem{Key: names.ServerPrefix + id, Deleted: true})
	s.record.Add("store: entry of %s removed", id)
}

// Route is a route of the operator's configuration.
type Route struct {
	Name, Host, Prefix, Service string
	AtMostOnce                  bool
	TimeoutMs, TargetMs         int
	MaxAttempts                 int
}

// Publish writes a configuration. Every service has the health path /health and
// takes 220 connections.
func (s *Store) Publish(version int, routes []Route) {
	var rows, services [][]any
	var known []string
	for _, r := range routes {
		kind := names.Idempotent
		if r.AtMostOnce {
			kind = names.AtMostOnce
		}
		rows = append(rows, []any{r.Name, r.Host, r.Prefix, kind, r.TimeoutMs, r.TargetMs, 1, r.MaxAttempts, r.Service})
		if !slices.Contains(known, r.Service) {
			known = append(known, r.Service)
			services = append(services, []any{r.Service, "/health", 220})
		}
	}
	value, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   map[string]any{"columns": names.RouteColumns, "rows": rows},
		"services": map[string]any{"columns": names.ServiceColumns, "rows": services},
		"limits":   names.Limits,
	})
	s.write(storeItem{Key: names.ConfigurationKey, Value: value})
	s.record.Add("store: configuration %d", version)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	stale := r.URL.Query().Get(names.Stale) == "1"
	cut := time.Now()
	s.mu.Lock()
	if stale && len(s.StaleBy) > 0 {
		cut = cut.Add(-s.StaleBy[s.stale%len(s.StaleBy)])
		s.stale++
	}
	latest := make(map[string]storeItem)
	revision := 1
	for _, item := range s.history {
		if item.at.After(cut) {
			break
		}
		revision = item.Revision
		latest[item.Key] = item
	}
	s.mu.Unlock()
	items := []storeItem{}
	for key, item := range latest {
		if !item.Deleted && strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > s.PageItems
	items = items[:min(len(items), s.PageItems)]
	time.Sleep(s.Answer)
	s.record.Add("store: page after %q for %s, stale %t, revision %d, %d items, more %t", r.URL.Query().Get("after"), r.RemoteAddr, stale, revision, len(items), more)
	s.respond(w, map[string]any{"items": items, names.More: more, names.Revision: revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get(names.Wait))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			time.Sleep(s.Answer)
			s.respond(w, map[string]any{"events": events, names.Revision: revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(body)
}
