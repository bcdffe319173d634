package kit

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Bounds of the pages.
const (
	drainTime       = 2 * time.Second
	stabilityWindow = 3 * time.Second
)

// RestartWhileLeaving is a case in which an entry host is stopped and started while
// an upstream leaves.
type RestartWhileLeaving struct {
	Domains []Domain
	// Zones are those of the hosts, Restarted is the index of the one that is
	// stopped and started.
	Zones     []string
	Restarted int
	// UpstreamZones are those of the upstreams, of which the last one leaves.
	UpstreamZones []string
	// PrepareStore sets how the store answers.
	PrepareStore func(*Store)
}

const (
	// leaveAfter is the time from the stop of the host to the leaving of the
	// upstream. The host ends about 3 s after its stop.
	leaveAfter = 2500 * time.Millisecond
	// touchMargin is the time after the host is in touch again until the first
	// request.
	touchMargin = 500 * time.Millisecond
	// waves of waveOrders orders each are sent every waveInterval.
	waves        = 6
	waveOrders   = 6
	waveInterval = 300 * time.Millisecond
	orderBudget  = 1500 * time.Millisecond
)

// Run plays the case and reports whether DRAIN was broken.
func (c *RestartWhileLeaving) Run(dir string, record *Record) (broken bool, err error) {
	store, err := NewStore(record)
	if err != nil {
		return false, err
	}
	c.PrepareStore(store)
	store.Publish(7, []Route{{
		Name: "r-orders", Host: "desk.example", Prefix: "/orders/", Service: "commandes", AtMostOnce: true,
		TimeoutMs: 1500, TargetMs: 300, MaxAttempts: 2,
	}})
	var leaver *Upstream
	for i, zone := range c.UpstreamZones {
		leaver = &Upstream{ID: fmt.Sprintf("i-orders-%d", i+1), Service: "commandes", Zone: zone, Slots: 3, Queue: 6, Work: 100 * time.Millisecond}
		if err := leaver.Start(store, record); err != nil {
			return false, err
		}
		defer leaver.Stop()
	}
	hosts, err := NewHosts(dir, record, store, c.Domains, c.Zones...)
	if err != nil {
		return false, err
	}
	defer KillAll(hosts)
	defer CopyLogs(hosts)
	if err := StartAll(hosts); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	return playLeaving(record, hosts[c.Restarted], leaver)
}

// playLeaving stops and starts a host, lets an upstream leave meanwhile, and sends
// orders to the host once it is in touch again.
func playLeaving(record *Record, host *Host, leaver *Upstream) (broken bool, err error) {
	left := make(chan time.Time, 1)
	time.AfterFunc(leaveAfter, func() {
		leaver.Leave()
		left <- time.Now()
	})
	if Trouble() {
		if err := host.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		<-host.Exited()
		if err := host.Start(false); err != nil {
			return false, err
		}
	} else {
		time.Sleep(3 * time.Second)
	}
	startedAt := time.Now()
	if err := host.WaitReady(); err != nil {
		return false, err
	}
	leftAt := <-left
	time.Sleep(time.Until(startedAt.Add(stabilityWindow + touchMargin)))
	sendWaves(record, host)
	return judgeLeaving(record, leaver, leftAt, startedAt), nil
}

func sendWaves(record *Record, host *Host) {
	var clients sync.WaitGroup
	for w := range waves {
		for n := range waveOrders {
			clients.Go(func() {
				id := fmt.Sprintf("order-%d-%d", w, n)
				Send(record, host.Front, Request{Attempt: id, Method: "POST", Host: "desk.example", Path: "/orders/new", Body: "urn " + id, Budget: orderBudget})
			})
		}
		time.Sleep(waveInterval)
	}
	clients.Wait()
}

// judgeLeaving counts the requests that reached the upstream later than the time bound
// after its leaving had been acknowledged. All were sent by a host in touch.
func judgeLeaving(record *Record, leaver *Upstream, leftAt, startedAt time.Time) bool {
	late := 0
	for _, run := range leaver.Runs() {
		if run.At.After(leftAt.Add(drainTime)) {
			late++
			record.Say("DRAIN: %s reached %s %v after it had said that it leaves, %v after the start of the host", run.Attempt, leaver.ID,
				run.At.Sub(leftAt).Round(time.Millisecond), run.At.Sub(startedAt).Round(time.Millisecond))
		}
	}
	record.Say("%d of %d orders broke DRAIN", late, waves*waveOrders)
	return late > 0
}
