package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// archiveUpstreams and liveUpstreams are the numbers of upstreams of the services that
	// have the files.
	archiveUpstreams, liveUpstreams = 120, 192
	// slowReaders is the number of clients with pipelined downloads. Each sends
	// pipelinedDownloadCount requests at once, with downloadWork in milliseconds and answers
	// of downloadBytes, and reads readBytes in each readInterval.
	slowReaders            = 180
	pipelinedDownloadCount = 8
	downloadWork           = 170
	downloadBytes          = 540_000
	readBytes              = 4 << 10
	readInterval           = 100 * time.Millisecond
	// patience is the time that they are willing to wait.
	patience = 2 * time.Minute
	// arrivalInterval is the time between the arrivals of two of these clients. Their
	// answers take 195 Mbit/s. crowdTime is the time from the first to the end.
	arrivalInterval = 177 * time.Millisecond
	crowdTime       = 45 * time.Second
	// keptClients are ordinary clients with kept connections, whose requests have
	// keptWork. maxLost is the number of requests that a machine may lose.
	keptClients = 60
	keptWork    = 600
	// keptInterval is the time between the starts of two of them.
	keptInterval = 11 * time.Millisecond
	maxLost      = 3
	// countTime is the time that a host needs to count the others.
	countTime = 7 * time.Second
)

// pipelinedDownloads lets clients pipeline downloads and read the answers slowly, while
// ordinary clients send lookups on kept connections. The platform kills a process that
// exceeds its memory.
func pipelinedDownloads(d *deployment, trouble bool) (bool, error) {
	d.limits = limits{megabytes: 536, descriptors: 8192}
	if err := d.startUpstreams("archive", archiveUpstreams); err != nil {
		return false, err
	}
	if err := d.startUpstreams("live", liveUpstreams); err != nil {
		return false, err
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
	time.Sleep(time.Second)
	start := time.Now()
	for i := 0; trouble && i < slowReaders && d.hosts[0].running(); i++ {
		crowd.Go(func() { d.download(fmt.Sprintf("d%d", i+1), stop) })
		time.Sleep(arrivalInterval)
	}
	if d.hosts[0].running() {
		time.Sleep(time.Until(start.Add(crowdTime)))
	}
	time.Sleep(time.Second)
	close(stop)
	crowd.Wait()
	clients.Wait()
	watching.Wait()
	d.record.add("%d lookups on kept connections were passed on and not answered", lost.Load())
	return lost.Load() > maxLost, nil
}

// lookUp sends lookups of a path with a time budget on a kept connection, and returns how
// many were passed on and not answered.
func (d *deployment) lookUp(client, path string, budget time.Duration, stop <-chan struct{}) (lost int) {
	c, err := net.Dial("tcp", d.hosts[0].address)
	if err != nil {
		return 0
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		select {
		case <-stop:
			return lost
		default:
		}
		id := fmt.Sprintf("%s-%d", client, n)
		c.SetDeadline(time.Now().Add(budget))
		fmt.Fprintf(c, "GET %s%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
			path, keptWork, routeHost, d.names.RequestID, id, d.names.Deadline, budget.Milliseconds())
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			var late net.Error
			if errors.As(err, &late) && late.Timeout() {
				d.record.add("client %s gives up %s, whose time is over", client, id)
				return lost
			}
			if n > 1 && d.record.has("runs "+id) {
				d.record.add("LOST: client %s gets no answer to %s, which was passed on: %v", client, id, err)
				lost++
			}
			return lost
		}
		io.Copy(io.Discard, response.Body)
	}
}

// download sends pipelined downloads and reads their answers slowly.
func (d *deployment) download(client string, stop <-chan struct{}) {
	c, err := net.Dial("tcp", d.hosts[0].address)
	if err != nil {
		return
	}
	defer c.Close()
	for i := range pipelinedDownloadCount {
		fmt.Fprintf(c, "GET %s%d?bytes=%d HTTP/1.1\r\nHost: %s\r\n%s: %s-%d\r\n%s: %d\r\n\r\n",
			filesPath, downloadWork, downloadBytes, routeHost, d.names.RequestID, client, i+1, d.names.Deadline, patience.Milliseconds())
	}
	read := 0
	for {
		select {
		case <-stop:
			d.record.add("client %s has read %d bytes", client, read)
			return
		case <-time.After(readInterval):
		}
		n, err := c.Read(make([]byte, readBytes))
		read += n
		if err != nil {
			d.record.add("client %s has read %d bytes: %v", client, read, err)
			return
		}
	}
}
