package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case.
type run struct {
	names   *names
	program string
	// dir is a temporary folder, and recordFile gets what was sent, answered and run.
	dir        string
	recordFile string
	// trouble is not set for a run without the disruption.
	trouble bool

	started time.Time
	mu      sync.Mutex
	record  *os.File
	hosts   []*host
}

// do runs a case and ends its processes.
func (r *run) do(body func(*run) int) (status int) {
	r.started = time.Now()
	var err error
	if r.record, err = os.Create(r.recordFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.record.Close()
	defer func() {
		if fault := recover(); fault != nil {
			r.note("the case could not run: %v", fault)
			status = notRun
		}
		r.killHosts()
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.note("the case was ended by a signal")
		r.killHosts()
		os.Exit(notRun)
	}()
	return body(r)
}

func (r *run) killHosts() {
	r.mu.Lock()
	hosts := r.hosts
	r.hosts = nil
	r.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
}

// note writes a line with the time since the start to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.record, format, args...)
	fmt.Fprintln(r.record)
}

// startHosts starts entry hosts, one in each of the zones, and waits until they are
// ready.
func (r *run) startHosts(count int, s *store) {
	controls := make([]string, count)
	for i := range controls {
		controls[i] = freeAddress()
	}
	seeds := controls[:min(count, 3)]
	for i := range controls {
		zone := zones[i%len(zones)]
		h, err := prepareHost(r.dir, fmt.Sprintf("front-%s-%d", zone["name"], 1+i/len(zones)), zone["name"], zone["region"], s.address(), seeds, controls[i])
		must(err)
		must(h.start(r.program))
		r.mu.Lock()
		r.hosts = append(r.hosts, h)
		r.mu.Unlock()
	}
	for _, h := range r.hosts {
		must(h.awaitReady(15 * time.Second))
		r.note("host %s is ready, callers at %s", h.name, h.front)
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
