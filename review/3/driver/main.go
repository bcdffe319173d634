// Command driver plays case 3: an entry host is stopped and started while an
// upstream leaves. After its start, a stale listing of the store arrives later than
// the newer state that another entry host gave it.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"wisteriapond/review/kit"
)

// Bounds and limits of the pages.
const (
	// storeAnswer is an answer of 4 ms and a round trip of 24 ms to another region.
	storeAnswer = 28 * time.Millisecond
	// staleBy is how old a stale read is: "may be seconds old".
	staleBy         = 2 * time.Second
	drainTime       = 2 * time.Second
	stabilityWindow = 3 * time.Second
)

const (
	// leaveAfter is the time from the stop of the host to the leaving of the
	// upstream. The host ends about 3 s after its stop.
	leaveAfter = 2500 * time.Millisecond
	// margin is the time after the host is in touch again until the first request.
	margin = 500 * time.Millisecond
	waves  = 6
	wave   = 6
	budget = 1500 * time.Millisecond
)

func main() { kit.Main(run) }

func run(dir string, record *kit.Record) (broken bool, err error) {
	store, err := kit.NewStore(record)
	if err != nil {
		return false, err
	}
	store.Answer, store.StaleBy = storeAnswer, staleBy
	store.Publish(7, []kit.Route{{
		Name: "r-orders", Host: "desk.example", Prefix: "/orders/", Service: "commandes", AtMostOnce: true,
		TimeoutMs: 1500, TargetMs: 300, MaxAttempts: 2,
	}})
	var upstreams []*kit.Upstream
	for i, zone := range []string{"qc-a", "qc-b"} {
		u := &kit.Upstream{ID: fmt.Sprintf("i-orders-%d", i+1), Service: "commandes", Zone: zone, Slots: 3, Queue: 6, Work: 100 * time.Millisecond}
		if err := u.Start(store, record); err != nil {
			return false, err
		}
		defer u.Stop()
		upstreams = append(upstreams, u)
	}
	domains := []kit.Domain{{Name: "mtl-a", Region: "mtl"}, {Name: "qc-a", Region: "qc"}, {Name: "qc-b", Region: "qc"}}
	hosts, err := kit.NewHosts(dir, record, store, domains, "qc-a", "qc-a", "qc-b")
	if err != nil {
		return false, err
	}
	defer kit.KillAll(hosts)
	defer kit.CopyLogs(hosts)
	if err := kit.StartAll(hosts); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	return play(record, hosts, upstreams[1])
}

// play stops and starts the second host, lets an upstream leave meanwhile, and
// sends orders to the host once it is in touch again.
func play(record *kit.Record, hosts []*kit.Host, leaver *kit.Upstream) (broken bool, err error) {
	host := hosts[1]
	left := make(chan time.Time, 1)
	time.AfterFunc(leaveAfter, func() {
		leaver.Leave()
		left <- time.Now()
	})
	if kit.Trouble() {
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
	time.Sleep(time.Until(startedAt.Add(stabilityWindow + margin)))
	sendOrders(record, host)
	return judge(record, leaver, leftAt, startedAt), nil
}

func sendOrders(record *kit.Record, host *kit.Host) {
	var clients sync.WaitGroup
	for w := range waves {
		for n := range wave {
			clients.Go(func() {
				id := fmt.Sprintf("order-%d-%d", w, n)
				kit.Send(record, host.Front, kit.Request{Attempt: id, Method: "POST", Host: "desk.example", Path: "/orders/new", Body: "urn " + id, Budget: budget})
			})
		}
		time.Sleep(300 * time.Millisecond)
	}
	clients.Wait()
}

// judge counts the requests that reached the upstream later than the time bound
// after its leaving had been acknowledged. All were sent by a host in touch.
func judge(record *kit.Record, leaver *kit.Upstream, leftAt, startedAt time.Time) bool {
	late := 0
	for _, run := range leaver.Runs() {
		if run.At.After(leftAt.Add(drainTime)) {
			late++
			record.Say("DRAIN: %s reached %s %v after it had said that it leaves, %v after the start of the host", run.Attempt, leaver.ID,
				run.At.Sub(leftAt).Round(time.Millisecond), run.At.Sub(startedAt).Round(time.Millisecond))
		}
	}
	record.Say("%d of %d orders broke DRAIN", late, waves*wave)
	return late > 0
}
