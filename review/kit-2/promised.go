package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// The case "promised": servers fail requests that they have run, with a status that
// promises to callers that they have not.
const (
	promisedServers = 12
	promisedSlots   = 3
	// One of twelve servers fails two fifths of its requests, for 6.5 s at a time.
	promisedGrey     = 1
	promisedFailed   = 0.4
	promisedFor      = 6500 * time.Millisecond
	promisedEvery    = 10 * time.Second
	promisedEpisodes = 3
	promisedInterval = 25 * time.Millisecond
	promisedBudgetMs = 1500
)

// orders counts the runs of each order and of each attempt at it.
type orders struct {
	mu       sync.Mutex
	attempts map[string]int
	runs     map[string]int
}

func (o *orders) ran(attempt, order string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts[attempt]++
	o.runs[order]++
}

func (o *orders) hasRun(attempt string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.attempts[attempt] > 0
}

func promised(r *run) int {
	s, err := newStore(r.names)
	must(err)
	s.publish(7, limits{16000, 2_000_000, 2000, 8000}, 220,
		route{"orders", "orders.example", "/orders/", r.names.AtMostOnce, 1500, 300, 2, "orders"})
	seen := &orders{attempts: make(map[string]int), runs: make(map[string]int)}
	var grey sync.Map
	serve := func(u *upstream, c net.Conn, q *http.Request, body []byte) bool {
		seen.ran(q.Header.Get(r.names.RequestID), string(body))
		time.Sleep(60 * time.Millisecond)
		if _, ok := grey.Load(u.id); ok && rand.Float64() < promisedFailed {
			r.note("%s ran %s (%s) and answers 503, without %s", u.id, body, q.Header.Get(r.names.RequestID), r.names.NotRun)
			return u.answer(c, q, http.StatusServiceUnavailable, "the order was taken, its confirmation failed")
		}
		return u.answer(c, q, http.StatusOK, "done")
	}
	for i := range promisedServers {
		u, err := newUpstream(r.names, fmt.Sprintf("i-orders-%02d", i), promisedSlots, serve)
		must(err)
		s.register(u.id, "orders", u.address(), zones[i%len(zones)]["name"], promisedSlots, "ready", 1, time.Now().UnixMilli())
	}
	r.startHosts(3, s)
	time.Sleep(time.Second)

	end := time.Now().Add(promisedEpisodes * promisedEvery)
	if r.trouble {
		go func() {
			for n := range promisedEpisodes {
				time.Sleep(promisedEvery - promisedFor)
				id := fmt.Sprintf("i-orders-%02d", n%promisedServers)
				r.note("%s fails %v of its requests for %v", id, promisedFailed, promisedFor)
				grey.Store(id, true)
				time.Sleep(promisedFor)
				grey.Delete(id)
			}
		}()
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, answered, refusedRun := 0, make(map[int]int), 0
	for n := 0; time.Now().Before(end); n++ {
		group.Add(1)
		go func() {
			defer group.Done()
			order := fmt.Sprintf("order-%05d", n)
			for try := range 2 {
				attempt := fmt.Sprintf("a%05d-%d", n, try)
				status := r.order(r.hosts[(n+try)%len(r.hosts)], order, attempt)
				time.Sleep(20 * time.Millisecond)
				broken := status == http.StatusServiceUnavailable && seen.hasRun(attempt)
				mu.Lock()
				sent++
				answered[status]++
				if broken {
					refusedRun++
				}
				mu.Unlock()
				if broken {
					r.note("%s (%s): the client gets 503, and it has run", order, attempt)
				}
				if status != http.StatusServiceUnavailable {
					return
				}
			}
		}()
		time.Sleep(promisedInterval)
	}
	group.Wait()
	twice := 0
	for order, runs := range seen.runs {
		if runs > 1 {
			twice++
			r.note("%s ran %d times: its client repeated it after the promise", order, runs)
		}
	}
	r.note("%d requests sent, answers by status %v; %d answered 503 have run; %d orders ran more than once", sent, answered, refusedRun, twice)
	if refusedRun > 0 {
		r.note("REFUSED is broken")
		return broken
	}
	return held
}

// order sends an order and returns the status of its answer, 0 for none.
func (r *run) order(h *host, order, attempt string) int {
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(promisedBudgetMs * time.Millisecond))
	fmt.Fprintf(c, "POST /orders/ HTTP/1.1\r\nHost: orders.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		r.names.RequestID, attempt, r.names.Deadline, promisedBudgetMs, len(order), order)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
