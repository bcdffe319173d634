package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// host is one entry host, a process of its own.
type host struct {
	name    string
	front   string
	ready   string
	control string
	dir     string
	process *exec.Cmd
	// ended is closed once the process has ended with the error endErr, nil for none.
	ended  chan struct{}
	endErr error
}

// freeAddress returns a loopback address with a port that is free at the moment.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

var zones = []map[string]string{
	{"name": "mtl-a", "region": "mtl"},
	{"name": "qc-a", "region": "qc"},
	{"name": "sag-a", "region": "sag"},
}

// prepareHost writes the settings of a host, as deploy/settings.json has them.
func prepareHost(dir, name, zone, region, storeAddress string, seeds []string, control string) (*host, error) {
	h := &host{name: name, front: freeAddress(), ready: freeAddress(), control: control, dir: dir}
	settings := map[string]any{
		"host": name, "region": region, "failure_domain": zone, "listen": h.front, "admin": h.ready,
		"store": map[string]any{
			"address": storeAddress, "domains": zones, "listen": control, "seeds": seeds, "capacity": 284,
			"retry_ratio": 0.2, "retry_slack": 56, "warm_up_ratio": 1.5, "warm_up_slack": 8, "first_start": true,
		},
		"limits":       map[string]any{"memory": "284MB", "descriptors": 4100},
		"hold_answers": "1MiB", "unsized_limit": "16MiB", "accept_for": "3s", "kill_after": "6s",
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settingsFile(), raw, 0o600)
}

func (h *host) settingsFile() string { return filepath.Join(h.dir, h.name+".json") }

// start starts the process with the command of the deploy file.
func (h *host) start(program string) error {
	out, err := os.Create(filepath.Join(h.dir, h.name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	h.process = exec.Command(program, "serve", "--settings", h.settingsFile())
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "LANG=C", "GOGC=50"}
	h.process.Stdout, h.process.Stderr = out, out
	if err := h.process.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func() {
		defer close(h.ended)
		h.endErr = h.process.Wait()
	}()
	return nil
}

// isReady reports whether the host says that it is ready.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready after %v", h.name, limit)
}

// kill ends the process, which may have ended, and waits for its end.
func (h *host) kill() {
	if h.ended != nil {
		h.process.Process.Kill()
		<-h.ended
	}
}
