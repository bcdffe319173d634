package standin

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"wisteriapond/document"
)

// invalidPart is a service part that every entry host rejects: its timeout has
// no unit and an upstream has no slots.
const invalidPart = `{
  // Refused: no unit, and no slots.
  "service": %q,
  "match": [{"path_prefix": "/%s/"}],
  "timeout": 250,
  "upstreams": [
    {"name": "bad-1", "host": "bad-1", "address": "127.0.0.1:1", "region": "mtl",
     "failure_domain": "mtl-a", "slots": 0, "connections": 220},
  ],
}
`

// Control is the HTTP endpoint through which a user of the demo changes the
// behaviour of the stand-ins. It is part of the stand-in platform; the load
// balancer never calls it.
type Control struct {
	platform   *Platform
	deployment *Deployment
	backends   map[string]*Backend
	mux        *http.ServeMux
}

// NewControl returns a control endpoint for a platform, the deployment published
// on it, and the backend servers by host name.
func NewControl(platform *Platform, deployment *Deployment, backends map[string]*Backend) *Control {
	c := &Control{platform: platform, deployment: deployment, backends: backends, mux: http.NewServeMux()}
	c.mux.HandleFunc("GET /hosts", c.serveHosts)
	c.mux.HandleFunc("POST /hosts/{host}/live", c.hostStateHandler("live"))
	c.mux.HandleFunc("POST /hosts/{host}/leaving", c.hostStateHandler("leaving"))
	c.mux.HandleFunc("POST /hosts/{host}/remove", c.serveRemove)
	c.mux.HandleFunc("GET /services/{service}", c.servePart)
	c.mux.HandleFunc("POST /services/{service}", c.servePublish)
	c.mux.HandleFunc("POST /services/{service}/bad", c.servePublishInvalid)
	c.mux.HandleFunc("POST /backends/{host}/{behaviour}", c.serveBehaviour)
	c.mux.HandleFunc("POST /platform/{state}", c.servePlatform)
	return c
}

// Handle registers a handler for a pattern, with the syntax of http.ServeMux.
func (c *Control) Handle(pattern string, handler http.HandlerFunc) {
	c.mux.HandleFunc(pattern, handler)
}

// ServeHTTP implements http.Handler.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

func (c *Control) serveHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.platform.Hosts())
}

func (c *Control) hostStateHandler(state string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		host := r.PathValue("host")
		if !c.platform.SetHostState(host, state) {
			http.Error(w, "unknown host "+host, http.StatusNotFound)
			return
		}
		fmt.Fprintf(w, "host %s is declared %s\n", host, state)
	}
}

func (c *Control) serveRemove(w http.ResponseWriter, r *http.Request) {
	host := r.PathValue("host")
	services, err := c.deployment.RemoveHost(host)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if len(services) == 0 {
		http.Error(w, "no service has an upstream on host "+host, http.StatusNotFound)
		return
	}
	fmt.Fprintf(w, "generation %d is published without host %s in %v\n", c.deployment.Generation(), host, services)
}

func (c *Control) servePart(w http.ResponseWriter, r *http.Request) {
	raw := c.deployment.Part(r.PathValue("service"))
	if raw == nil {
		http.NotFound(w, r)
		return
	}
	w.Write(raw)
}

func (c *Control) servePublish(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, document.MaxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	service := r.PathValue("service")
	generation := c.deployment.PublishRaw(map[string][]byte{service: raw})
	fmt.Fprintf(w, "generation %d is published\n", generation)
}

func (c *Control) servePublishInvalid(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	generation := c.deployment.PublishRaw(map[string][]byte{service: fmt.Appendf(nil, invalidPart, service, service)})
	fmt.Fprintf(w, "generation %d is published with a bad part of service %s\n", generation, service)
}

// behaviourChanges maps the last path element of a /backends/ call to its change
// of the behaviour. "well" removes all faults.
var behaviourChanges = map[string]func(*Behaviour){
	"well":           func(b *Behaviour) { *b = Behaviour{} },
	"slow":           func(b *Behaviour) { b.ExtraDelay = time.Second },
	"drain":          func(b *Behaviour) { b.Draining = true },
	"shed":           func(b *Behaviour) { b.Shedding = true },
	"fail-fast":      func(b *Behaviour) { b.FailFast = true },
	"truncate":       func(b *Behaviour) { b.Truncate = true },
	"read-and-close": func(b *Behaviour) { b.ReadAndClose = true },
	"mislead":        func(b *Behaviour) { b.MisleadingLoad = true },
}

func (c *Control) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	host, name := r.PathValue("host"), r.PathValue("behaviour")
	backend, change := c.backends[host], behaviourChanges[name]
	if backend == nil {
		http.Error(w, "unknown host "+host, http.StatusNotFound)
		return
	}
	if change == nil {
		http.Error(w, fmt.Sprintf("unknown behaviour %s, want one of %v", name, sortedKeys(behaviourChanges)), http.StatusNotFound)
		return
	}
	backend.UpdateBehaviour(change)
	fmt.Fprintf(w, "backend server %s: %s\n", host, name)
}

func (c *Control) servePlatform(w http.ResponseWriter, r *http.Request) {
	state := r.PathValue("state")
	switch state {
	case "up":
		c.platform.SetDown(false)
		c.platform.SetStale(false)
	case "down":
		c.platform.SetDown(true)
	case "stale":
		c.platform.SetStale(true)
	default:
		http.Error(w, "unknown state "+state+", want up, down or stale", http.StatusNotFound)
		return
	}
	fmt.Fprintf(w, "platform: %s\n", state)
}
