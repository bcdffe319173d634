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
	// pipelinedCallers is the number of connections, and timeBudget what each request has.
	pipelinedCallers = 4
	timeBudget       = 15 * time.Second
)

// pipelinedWork is the work of the requests of one connection in milliseconds: the first
// takes long, those behind it do not.
var pipelinedWork = []int{3600, 900, 900}

// pipelinedRequest is what became of one request.
type pipelinedRequest struct {
	id       string
	answered bool
}

// pipelinedStop lets clients send requests before the first of their connection is
// answered, and stops the entry host that has them. Every request that the entry host
// has passed on to an upstream has to be answered.
func pipelinedStop(d *deployment, trouble bool) (bool, error) {
	if err := d.startUpstreams("archive", 4); err != nil {
		return false, err
	}
	if err := d.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	requests := make([][]pipelinedRequest, pipelinedCallers)
	var callers sync.WaitGroup
	errs := make([]error, pipelinedCallers)
	for i := range requests {
		callers.Go(func() { requests[i], errs[i] = d.sendPipelined(fmt.Sprintf("c%d", i+1)) })
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		d.hosts[0].stop(d.record)
	}
	callers.Wait()
	broken := false
	for i := range requests {
		if errs[i] != nil {
			return false, errs[i]
		}
		for _, r := range requests[i] {
			if !r.answered && d.record.has("runs "+r.id) {
				d.record.add("LOST: %s was passed on to an upstream and not answered", r.id)
				broken = true
			}
		}
	}
	return broken, nil
}

// sendPipelined sends the requests of one connection to the first entry host and reads
// the answers.
func (d *deployment) sendPipelined(caller string) ([]pipelinedRequest, error) {
	c, err := net.Dial("tcp", d.hosts[0].address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(timeBudget))
	var requests []pipelinedRequest
	for i, ms := range pipelinedWork {
		id := fmt.Sprintf("%s-%d", caller, i+1)
		requests = append(requests, pipelinedRequest{id: id})
		d.record.add("client %s sends %s, %d ms of work", caller, id, ms)
		if _, err := fmt.Fprintf(c, "GET %s%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
			historyPath, ms, routeHost, d.names.RequestID, id, d.names.Deadline, timeBudget.Milliseconds()); err != nil {
			return nil, err
		}
	}
	reader := bufio.NewReader(c)
	for i := range requests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			d.record.add("client %s gets no answer to %s: %v", caller, requests[i].id, err)
			return requests, nil
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			d.record.add("client %s gets a part of the answer to %s: %v", caller, requests[i].id, err)
			return requests, nil
		}
		requests[i].answered = true
		d.record.add("client %s gets %d for %s, id %s, %d bytes, closing: %t", caller, response.StatusCode, requests[i].id,
			response.Header.Get(d.names.RequestID), len(body), response.Close)
	}
	return requests, nil
}
