package kit

import (
	"encoding/json"
	"errors"
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

// program is the program of the deploy file, seen from the repository root.
const program = "target/wisteriapond"

// readyTimeout bounds the wait until an entry host is ready.
const readyTimeout = 10 * time.Second

// Domain is a zone and its region.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Host is an entry host process.
type Host struct {
	Name, Region, Zone  string
	Front, Admin, Relay string
	settings            string
	log                 *os.File
	record              *Record
	mu                  sync.Mutex
	process             *exec.Cmd
	exited              chan struct{}
	store               string
	domains             []Domain
	seeds               []string
}

// Ports of hosts lie below those that the system gives to outgoing connections: such
// a port may be taken between its choice and the start of the process.
const (
	firstPort = 20_000
	portCount = 10_000
)

// FreeAddresses returns loopback addresses at which nothing listens.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	offset := os.Getpid() * 97 % portCount
	for range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		offset = (offset + 1) % portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+offset))
		if err != nil {
			continue
		}
		addresses = append(addresses, l.Addr().String())
		l.Close()
	}
	return nil, errors.New("no free ports")
}

// NewHosts returns one host for each of the zones, which may be repeated. They are
// not started yet.
func NewHosts(dir string, record *Record, store *Store, domains []Domain, zones ...string) ([]*Host, error) {
	addresses, err := FreeAddresses(3 * len(zones))
	if err != nil {
		return nil, err
	}
	var hosts []*Host
	var seeds []string
	for i, zone := range zones {
		h := &Host{
			Name: fmt.Sprintf("front-%s-%d", zone, i+1), Zone: zone, record: record, store: store.Address(), domains: domains,
			Front: addresses[3*i], Admin: addresses[3*i+1], Relay: addresses[3*i+2],
		}
		for _, d := range domains {
			if d.Name == zone {
				h.Region = d.Region
			}
		}
		h.settings = filepath.Join(dir, h.Name+".json")
		if h.log, err = os.Create(filepath.Join(dir, h.Name+".log")); err != nil {
			return nil, err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, h.Relay)
		}
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		h.seeds = seeds
	}
	return hosts, nil
}

// Start starts the process with settings as the template of the deploy file gives
// them. first is set at the first start of the deployment.
func (h *Host) Start(first bool) error {
	raw, err := json.Marshal(map[string]any{
		"host": h.Name, "region": h.Region, "failure_domain": h.Zone, "listen": h.Front, "admin": h.Admin,
		"store": map[string]any{
			"address": h.store, "domains": h.domains, "listen": h.Relay, "seeds": h.seeds, "capacity": 284,
			"retry_ratio": 0.2, "retry_slack": 56, "first_start": first,
		},
		"hold_answers": "1MiB", "unsized_limit": "16MiB", "accept_for": "3s", "kill_after": "6s",
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.settings, raw, 0o600); err != nil {
		return err
	}
	process := exec.Command(program, "serve", "--settings", h.settings)
	process.Env = []string{"GOGC=50", "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	process.Stdout, process.Stderr = h.log, h.log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited = process, exited
	h.mu.Unlock()
	h.record.Add("host %s: started, first start %t", h.Name, first)
	go func() {
		err := process.Wait()
		h.record.Add("host %s: process ended: %v", h.Name, err)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.Add("host %s: gets signal %v", h.Name, signal)
	return h.process.Process.Signal(signal)
}

// Exited returns a channel that is closed when the process has ended.
func (h *Host) Exited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// WaitReady waits until the host says that it is ready.
func (h *Host) WaitReady() error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + h.Admin + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			h.record.Add("host %s: ready", h.Name)
			return nil
		}
	}
	return errors.New("the host does not become ready: " + h.Name)
}

// StartAll starts all hosts for the first time and waits until they are ready.
func StartAll(hosts []*Host) error {
	for _, h := range hosts {
		if err := h.Start(true); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if err := h.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// KillAll ends all processes.
func KillAll(hosts []*Host) {
	for _, h := range hosts {
		if h.process == nil {
			continue
		}
		h.process.Process.Kill()
		<-h.Exited()
	}
}

// CopyLogs copies the logs of the hosts to a folder if KEEP_LOGS names one.
func CopyLogs(hosts []*Host) {
	folder := os.Getenv("KEEP_LOGS")
	if folder == "" {
		return
	}
	for _, h := range hosts {
		if raw, err := os.ReadFile(h.log.Name()); err == nil {
			os.WriteFile(filepath.Join(folder, h.Name+".log"), raw, 0o600)
		}
	}
}

// EndedBySignal reports whether a signal ended the process, rather than the program
// itself. The process must have ended.
func (h *Host) EndedBySignal() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	status, ok := h.process.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled()
}

// Accepts reports whether connections to an address are accepted.
func Accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}
