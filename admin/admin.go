// Package admin is the HTTP server towards operators.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"wisteriapond/core"
	"wisteriapond/metrics"
)

const (
	headerTimeout = 5 * time.Second
	statusTimeout = 5 * time.Second
)

// Source is what the admin server reports on.
type Source interface {
	Ready() bool
	Status(ctx context.Context) (core.Status, error)
}

// Server serves /metrics, /livez, /readyz and /status.
type Server struct {
	source  Source
	metrics *metrics.Set
	http    *http.Server
}

// NewServer returns an admin server.
func NewServer(source Source, set *metrics.Set) *Server {
	s := &Server{source: source, metrics: set}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("GET /livez", s.serveLive)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /status", s.serveStatus)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return s
}

// Serve accepts connections until Close.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Close ends the server.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.metrics.Write(w)
}

func (s *Server) serveLive(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte("ok\n"))
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.source.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ok\n"))
}

func (s *Server) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := s.source.Status(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(status)
}
