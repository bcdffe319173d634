package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// lateReaders is the number of clients. Each sends a download of downloadBytes
	// downloadAfter the SIGTERM, further requests behindAfter that, one in behindInterval,
	// and reads from readAfter on.
	lateReaders    = 8
	downloadAfter  = 300 * time.Millisecond
	behindAfter    = 500 * time.Millisecond
	behindInterval = 100 * time.Millisecond
	behindCount    = 2
	readAfter      = 1200 * time.Millisecond
)

// lateRead stops an entry host while clients send pipelined requests and read late. The
// answer to each request that the host has passed on has to arrive whole.
func lateRead(d *deployment, trouble bool) (bool, error) {
	if err := d.startUpstreams("archive", 4); err != nil {
		return false, err
	}
	if err := d.startUpstreams("live", 4); err != nil {
		return false, err
	}
	if err := d.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	var clients, stopping sync.WaitGroup
	lost := make([]bool, lateReaders)
	errs := make([]error, lateReaders)
	at := time.Now().Add(300 * time.Millisecond)
	for i := range lateReaders {
		clients.Go(func() { lost[i], errs[i] = d.readLate(fmt.Sprintf("l%d", i+1), at) })
	}
	time.Sleep(time.Until(at))
	if trouble {
		stopping.Go(func() { d.hosts[0].stop(d.record) })
	}
	clients.Wait()
	stopping.Wait()
	broken := false
	for i := range lateReaders {
		if errs[i] != nil {
			return false, errs[i]
		}
		broken = broken || lost[i]
	}
	return broken, nil
}

// readLate plays one client, and reports whether its download was passed on and lost.
func (d *deployment) readLate(client string, stopAt time.Time) (lost bool, err error) {
	c, err := net.Dial("tcp", d.hosts[0].address)
	if err != nil {
		return false, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(c)
	send := func(n int, target string) {
		d.record.add("client %s sends %s-%d", client, client, n)
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s-%d\r\n%s: 8000\r\n\r\n", target, routeHost, d.names.RequestID, client, n, d.names.Deadline)
	}
	send(0, fmt.Sprintf("%s%d", statusPath, 20))
	if err := d.readAnswer(reader, client, client+"-0"); err != nil {
		return false, err
	}
	time.Sleep(time.Until(stopAt.Add(downloadAfter)))
	sentAt := time.Now()
	send(1, fmt.Sprintf("%s%d?bytes=%d", filesPath, downloadWork, downloadBytes))
	for i := range behindCount {
		time.Sleep(time.Until(sentAt.Add(behindAfter + time.Duration(i)*behindInterval)))
		send(2+i, fmt.Sprintf("%s%d", statusPath, 20))
	}
	time.Sleep(time.Until(sentAt.Add(readAfter)))
	id := client + "-1"
	if err := d.readAnswer(reader, client, id); err != nil && d.record.has("runs "+id) {
		d.record.add("LOST: %s was passed on to an upstream and not answered completely", id)
		return true, nil
	}
	return false, nil
}

// readAnswer reads the answer to a request.
func (d *deployment) readAnswer(reader *bufio.Reader, client, id string) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		d.record.add("client %s gets no answer to %s: %v", client, id, err)
		return err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	d.record.add("client %s gets %d for %s, %d of %d bytes, closing: %t, error: %v", client, response.StatusCode, id, n, response.ContentLength, response.Close, err)
	return err
}
