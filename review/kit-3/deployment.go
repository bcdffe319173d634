package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"wisteriapond/platform/platformtest"
)

const (
	region = "mtl"
	domain = "mtl-a"
	// graceTime is the time from SIGTERM to SIGKILL.
	graceTime = 6 * time.Second
	// readyTimeout bounds the wait for an entry host to be ready.
	readyTimeout = 20 * time.Second
	// stabilityWindow is the time without disturbance after which a host is in touch.
	stabilityWindow = 3 * time.Second
)

// deployment is a small deployment: a store, upstreams in this process, and entry hosts
// that are processes of their own.
type deployment struct {
	names     names
	record    *record
	directory string
	program   string
	store     *platformtest.Store
	hosts     []*host
	limits    limits
}

// limits are the limits of each entry host's process, which the platform enforces.
type limits struct {
	megabytes, descriptors int
}

// smallMachine has the limits of the machines of a small site.
var smallMachine = limits{megabytes: 284, descriptors: 4100}

// host is the process of one entry host.
type host struct {
	name    string
	address string
	admin   string
	relay   string
	process *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

func newDeployment(r *record, program string) (*deployment, error) {
	n, err := readNames()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "wisteriapond-review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{names: n, record: r, directory: directory, program: program, store: platformtest.NewStore(), limits: smallMachine}
	d.store.Put(n.Configuration, configuration)
	return d, nil
}

// close ends all processes and removes the files.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.process != nil {
			h.process.Process.Signal(syscall.SIGCONT)
			h.process.Process.Kill()
			<-h.ended
		}
	}
	d.store.Close()
	os.RemoveAll(d.directory)
}

// unusedAddresses returns n different loopback addresses at which nothing listens. Their
// host part is that of this process alone, so that no other process gets a port meanwhile.
func unusedAddresses(n int) ([]string, error) {
	id := os.Getpid()
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+id>>16&0x7f, id>>8&0xff, id&0xff))
		if err != nil {
			return nil, err
		}
		// Until all are known, so that none is handed out twice.
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

// startHosts starts n entry hosts and waits until they are ready.
func (d *deployment) startHosts(n int) error {
	var seeds []string
	addresses, err := unusedAddresses(3 * n)
	if err != nil {
		return err
	}
	for i := range n {
		h := &host{name: fmt.Sprintf("entry-%d", i+1), address: addresses[3*i], admin: addresses[3*i+1], relay: addresses[3*i+2]}
		d.hosts = append(d.hosts, h)
		seeds = append(seeds, `"`+h.relay+`"`)
	}
	for _, h := range d.hosts {
		if err := d.start(h, strings.Join(seeds, ", ")); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// start starts an entry host with the command and the settings of the deploy files.
func (d *deployment) start(h *host, seeds string) error {
	settings := fmt.Sprintf(`{
		"host": %q, "region": %q, "failure_domain": %q, "listen": %q, "admin": %q,
		"store": {
			"address": %q, "domains": [{"name": %q, "region": %q}], "listen": %q, "seeds": [%s], "capacity": %d,
			"retry_ratio": 0.2, "retry_slack": 56, "warm_up_ratio": 1.5, "warm_up_slack": 8, "first_start": true
		},
		"limits": {"memory": "%dMB", "descriptors": %d},
		"hold_answers": "1MiB", "unsized_limit": "16MiB", "accept_for": "3s", "kill_after": "%ds"
	}`, h.name, region, domain, h.address, h.admin, d.store.Address(), domain, region, h.relay, seeds, d.limits.megabytes,
		d.limits.megabytes, d.limits.descriptors, int(graceTime/time.Second))
	file := filepath.Join(d.directory, h.name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(d.directory, h.name+".log"))
	if err != nil {
		return err
	}
	defer logs.Close()
	h.process = exec.Command(d.program, "serve", "--settings", file)
	// The machines of the platform show one core to a process.
	h.process.Env = append(os.Environ(), "GOGC=50", "GOMAXPROCS=1")
	h.process.Stdout, h.process.Stderr = logs, logs
	if err := h.process.Start(); err != nil {
		h.process = nil
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	h.ended = make(chan struct{})
	go func() {
		h.process.Wait()
		close(h.ended)
	}()
	return nil
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

func (h *host) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + h.admin + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(h.name + " is not ready")
}

// stop sends SIGTERM, and SIGKILL after the grace time.
func (h *host) stop(r *record) {
	r.add("SIGTERM to %s", h.name)
	h.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.ended:
		r.add("%s has ended", h.name)
		return
	case <-time.After(graceTime):
	}
	r.add("SIGKILL to %s", h.name)
	h.process.Process.Kill()
	<-h.ended
}
