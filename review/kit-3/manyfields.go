package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A body is announced with slowBodyBytes, of which slowBodyFirst are sent at once and
	// then one byte in slowBodyInterval.
	slowBodyBytes    = 20_000
	slowBodyFirst    = 9000
	slowBodyInterval = 2 * time.Second
	// fieldClients is the number of clients whose heads have many fields: fieldCount times
	// manyField, within the limit on heads. One comes in each fieldInterval, so that they
	// send 10 Mbit/s.
	fieldClients  = 700
	fieldCount    = 3200
	manyField     = "a:b\r\n"
	fieldInterval = 21 * time.Millisecond
	// fieldTime is the time from the last client to the end.
	fieldTime = 4 * time.Second
)

// manyFields lets clients send heads with many fields and the bodies slowly, while
// ordinary clients send lookups on kept connections. The platform kills a process that
// exceeds its memory.
func manyFields(d *deployment, trouble bool) (bool, error) {
	d.limits = limits{megabytes: 184, descriptors: 4100}
	for _, service := range []string{"live", "orders"} {
		if err := d.startUpstreams(service, 24); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(countTime)
	stop := make(chan struct{})
	var watching, clients, crowd sync.WaitGroup
	watching.Go(func() {
		peak, killed := d.enforceMemory(d.hosts[0], stop)
		d.record.add("peak of the memory: %v, killed: %t", peak, killed)
	})
	var lost atomic.Int64
	for i := range keptClients {
		clients.Go(func() { lost.Add(int64(d.lookUp(fmt.Sprintf("k%d", i+1), statusPath, 5*time.Second, stop))) })
		time.Sleep(keptInterval)
	}
	sent := 0
	for i := 0; trouble && i < fieldClients && d.hosts[0].running(); i++ {
		crowd.Go(func() { d.sendManyFields(fmt.Sprintf("f%d", i+1), stop) })
		sent++
		time.Sleep(fieldInterval)
	}
	d.record.add("%d clients have come with many fields", sent)
	if d.hosts[0].running() {
		time.Sleep(fieldTime)
	}
	time.Sleep(time.Second)
	close(stop)
	crowd.Wait()
	clients.Wait()
	watching.Wait()
	d.record.add("%d lookups on kept connections were passed on and not answered", lost.Load())
	return lost.Load() > maxLost, nil
}

// sendManyFields sends a head with many fields and a part of the body at once, and then a
// byte now and then.
func (d *deployment) sendManyFields(id string, stop <-chan struct{}) {
	c, err := net.DialTimeout("tcp", d.hosts[0].address, 2*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s10 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n%s\r\n%s",
		orderPath, routeHost, d.names.RequestID, id, d.names.Deadline, patience.Milliseconds(), slowBodyBytes,
		strings.Repeat(manyField, fieldCount), strings.Repeat("b", slowBodyFirst))
	for {
		select {
		case <-stop:
			return
		case <-time.After(slowBodyInterval):
		}
		if _, err := io.WriteString(c, "b"); err != nil {
			return
		}
	}
}
