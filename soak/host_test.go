package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// programVariable is the environment variable that makes the test binary run the
// program.
const programVariable = "WISTERIAPOND_AS_PROGRAM"

// host is an entry host process. It is restarted when it exits, until close.
type host struct {
	name     string
	address  string
	admin    string
	settings string
	store    *proxy
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	stopped bool
}

// The addresses of hosts lie below the ports that the system gives to outgoing
// connections: such a port may be taken between the choice of an address and the
// start of the process that listens there.
const (
	firstPort = 20_000
	portCount = 10_000
)

// portOffset is the offset of the next port. Test processes that run at the same
// time start at different ones.
var portOffset = os.Getpid() * 97 % portCount

// freeAddress returns an address at which nothing listens.
func freeAddress() (string, error) {
	var err error
	for range portCount {
		portOffset = (portOffset + 1) % portCount
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset)); err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", err
}

// newHost writes the settings of a host and starts it. The host reaches the store
// through a proxy. relay is the listen address of its relay, and seeds is the
// content of the JSON array of seed addresses.
func newHost(directory, name string, store *proxy, relay string, seeds string) (*host, error) {
	h := &host{name: name, store: store, settings: filepath.Join(directory, name+".json")}
	var err error
	if h.address, err = freeAddress(); err != nil {
		return nil, err
	}
	if h.admin, err = freeAddress(); err != nil {
		return nil, err
	}
	raw := fmt.Appendf(nil, `{
		"host": %q, "region": "mtl", "failure_domain": "mtl-a", "listen": %q, "admin": %q, "accept_for": "300ms", "stop_timeout": "4500ms",
		"limits": {"descriptors": %d},
		"store": {"address": %q, "domains": [{"name": "mtl-a", "region": "mtl"}], "listen": %q, "seeds": [%s]},
	}`, name, h.address, h.admin, hostDescriptors, store.address(), relay, seeds)
	if err := os.WriteFile(h.settings, raw, 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(directory, name+".log")); err != nil {
		return nil, err
	}
	return h, h.start()
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	command := exec.Command(os.Args[0], "serve", "--settings", h.settings)
	// Under the race detector a program sleeps for 1 s before it exits, unless told
	// otherwise.
	command.Env = append(os.Environ(), programVariable+"=1", "GORACE=atexit_sleep_ms=0")
	command.Stdout, command.Stderr = h.log, h.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited = command, exited
	go func() {
		command.Wait()
		close(exited)
		time.Sleep(50 * time.Millisecond)
		h.start()
	}()
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when
// the process exits.
func (h *host) signal(s syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process.Process.Signal(s)
	return h.exited
}

func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.admin + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close kills the process and prevents a restart.
func (h *host) close() {
	h.mu.Lock()
	h.stopped = true
	process, exited := h.process, h.exited
	h.mu.Unlock()
	process.Process.Signal(syscall.SIGCONT)
	process.Process.Kill()
	<-exited
	h.store.close()
	h.log.Close()
}
