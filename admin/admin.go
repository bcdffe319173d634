// Package admin implements the HTTP server for operators.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/metrics"
)

const (
	// headerTimeout bounds the time in which a client sends the header of a
	// request.
	headerTimeout = 5 * time.Second
	// queryTimeout bounds the wait for the control goroutine.
	queryTimeout = 5 * time.Second
	// maxExplainHeaders bounds the number of header parameters of a request to
	// /explain.
	maxExplainHeaders = 64
)

// Source provides the state that the server reports.
type Source interface {
	// Ready reports whether the host is ready for requests of callers.
	Ready() bool
	// Status returns the state of the host.
	Status(ctx context.Context) (core.Status, error)
	// Explain returns how the request would be routed. Nothing is sent to a
	// backend server.
	Explain(ctx context.Context, request config.Request) (config.Explanation, error)
}

// Options enables optional parts of the server.
type Options struct {
	// Profiling enables /debug/pprof. Default false.
	Profiling bool
}

// Server serves /metrics, /livez, /readyz, /status and /explain, and
// /debug/pprof if it is enabled.
type Server struct {
	source  Source
	metrics *metrics.Set
	http    *http.Server
}

// NewServer returns a server that reports the state of source and the metrics of
// set.
func NewServer(source Source, set *metrics.Set, options Options) *Server {
	s := &Server{source: source, metrics: set}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("GET /livez", s.serveLive)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /status", s.serveStatus)
	mux.HandleFunc("GET /explain", s.serveExplain)
	if options.Profiling {
		addProfiling(mux)
	}
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return s
}

func addProfiling(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

// Serve accepts connections until Close, after which it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// Handler returns the HTTP handler of all paths.
func (s *Server) Handler() http.Handler { return s.http.Handler }

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.metrics.Write(w)
}

// serveLive responds as long as the process runs. It does not query the control
// goroutine, so that the platform does not kill a busy host.
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
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	status, err := s.source.Status(ctx)
	respond(w, status, err)
}

// serveExplain reports how a request would be routed. The query parameters are
// method, host, path and up to maxExplainHeaders times "header=Name: value". The
// path has the escapes that it has in the request, besides those of the parameter.
func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	query := r.URL.Query()
	request := config.Request{Method: query.Get("method"), Host: query.Get("host"), Path: config.TargetPath(query.Get("path"))}
	headers := query["header"]
	if len(headers) > maxExplainHeaders {
		http.Error(w, "too many headers", http.StatusBadRequest)
		return
	}
	for _, line := range headers {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			http.Error(w, "header must be \"Name: value\"", http.StatusBadRequest)
			return
		}
		request.Headers = append(request.Headers, config.Header{
			Name:  strings.ToLower(strings.TrimSpace(name)),
			Value: strings.TrimSpace(value),
		})
	}
	explanation, err := s.source.Explain(ctx, request)
	respond(w, explanation, err)
}

func respond(w http.ResponseWriter, value any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.Encode(value)
}
