package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdConnections is the number of connections whose requests have slow bodies. Each
	// body is announced with crowdBodyBytes, of which crowdFirstBytes are sent at once and
	// then one byte in crowdByteInterval.
	crowdConnections  = 1500
	crowdBodyBytes    = 20_000
	crowdFirstBytes   = 9000
	crowdByteInterval = 2 * time.Second
	// crowdHeadTime is the time for all heads to arrive.
	crowdHeadTime = 4 * time.Second
	// ordinaryClients try for ordinaryTime, each on a new connection for every request.
	ordinaryClients = 10
	ordinaryTime    = 12 * time.Second
	// readTime is the time after which a client gives up a request that is not read.
	readTime = time.Second
)

// slowBodies opens many connections whose clients send the bodies of their requests
// slowly, and lets ordinary clients try meanwhile. As long as the entry host says that it
// is ready, it has to take new connections.
func slowBodies(d *deployment, trouble bool) (bool, error) {
	for _, service := range []string{"catalogue", "orders"} {
		if err := d.startUpstreams(service, 4); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	ended := make(chan struct{})
	var crowd sync.WaitGroup
	defer crowd.Wait()
	defer close(ended)
	if trouble {
		d.record.add("%d clients open connections and send the bodies of their requests slowly", crowdConnections)
		for i := range crowdConnections {
			crowd.Go(func() { d.sendSlowBody(fmt.Sprintf("s%d", i+1), ended) })
		}
	}
	time.Sleep(crowdHeadTime)
	return d.tryOrdinary()
}

// sendSlowBody sends a head and a part of the body at once, and then a byte now and then.
func (d *deployment) sendSlowBody(id string, ended <-chan struct{}) {
	c, err := net.DialTimeout("tcp", d.hosts[0].address, 2*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s10 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1500\r\nContent-Length: %d\r\n\r\n%s",
		orderPath, routeHost, d.names.RequestID, id, d.names.Deadline, crowdBodyBytes, strings.Repeat("b", crowdFirstBytes))
	for {
		select {
		case <-ended:
			return
		case <-time.After(crowdByteInterval):
		}
		if _, err := io.WriteString(c, "b"); err != nil {
			return
		}
	}
}

// tryOrdinary lets the ordinary clients try, and reports whether the host took no new
// connection for stabilityWindow while it said that it is ready.
func (d *deployment) tryOrdinary() (broken bool, err error) {
	start := time.Now()
	until := start.Add(ordinaryTime)
	var tried, answered, notReady atomic.Int64
	// lastTaken is when a client last got an answer on a new connection, and lastUnready
	// when the host last said that it is not ready, in nanoseconds since the start.
	var lastTaken, lastUnready, longest atomic.Int64
	var clients sync.WaitGroup
	for i := range ordinaryClients {
		clients.Go(func() {
			for n := 1; time.Now().Before(until); n++ {
				id := fmt.Sprintf("o%d-%d", i+1, n)
				tried.Add(1)
				status, err := d.ask(id)
				if err != nil {
					d.record.add("client o%d gets no answer to %s: %v", i+1, id, err)
					continue
				}
				answered.Add(1)
				lastTaken.Store(int64(time.Since(start)))
				if answered.Load()%100 == 1 {
					d.record.add("client o%d gets %d for %s", i+1, status, id)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(until) {
		ready, err := client.Get("http://" + d.hosts[0].admin + "/readyz")
		if err != nil || ready.StatusCode != http.StatusOK {
			notReady.Add(1)
			lastUnready.Store(int64(time.Since(start)))
		}
		if err == nil {
			ready.Body.Close()
		}
		span := int64(time.Since(start)) - max(lastTaken.Load(), lastUnready.Load())
		longest.Store(max(longest.Load(), span))
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	select {
	case <-d.hosts[0].ended:
		return false, errors.New("the entry host has ended")
	default:
	}
	d.record.add("%d requests of %d ordinary clients on new connections, %d answered", tried.Load(), ordinaryClients, answered.Load())
	d.record.add("not ready %d times; ready without taking a new connection for up to %.1f s", notReady.Load(), time.Duration(longest.Load()).Seconds())
	return time.Duration(longest.Load()) > stabilityWindow, nil
}

// ask sends an ordinary request on a new connection and returns the status of its answer.
func (d *deployment) ask(id string) (int, error) {
	c, err := net.DialTimeout("tcp", d.hosts[0].address, readTime)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(readTime))
	fmt.Fprintf(c, "GET %s10 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1200\r\n\r\n", lookupPath, routeHost, d.names.RequestID, id, d.names.Deadline)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
