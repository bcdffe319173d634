package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "slowbody": a crowd of callers that sends the heads of its requests at once
// and the short bodies slowly.
const (
	slowServers  = 6
	slowCrowd    = 1500
	slowLength   = 20_000
	slowFirst    = 12_000
	slowPieceFor = 2 * time.Second
	// slowFor is how long the crowd stays. The ordinary callers try meanwhile.
	slowFor = 24 * time.Second
	// Ten ordinary callers try to connect, each once a second and with one second to
	// establish the connection, as the pages say of them. The rule names seven.
	ordinaryCallers = 10
	ordinaryWait    = time.Second
	// takesNone is the span of the rule in which no new connection is taken.
	takesNone = 3 * time.Second
)

func slowBody(r *run) int {
	s, err := newStore(r.names)
	must(err)
	s.publish(7, limits{16000, 2_000_000, 2000, 8000}, 220,
		route{"lookups", "lookups.example", "/lookups/", r.names.Idempotent, 1200, 250, 2, "lookups"},
		route{"orders", "lookups.example", "/orders/", r.names.AtMostOnce, 1500, 300, 2, "lookups"})
	serve := func(u *upstream, c net.Conn, q *http.Request, _ []byte) bool {
		time.Sleep(20 * time.Millisecond)
		return u.answer(c, q, http.StatusOK, "done")
	}
	for i := range slowServers {
		u, err := newUpstream(r.names, fmt.Sprintf("i-lookups-%02d", i), 3, serve)
		must(err)
		s.register(u.id, "lookups", u.address(), "mtl-a", 3, "ready", 1, time.Now().UnixMilli())
	}
	r.startHosts(1, s)
	h := r.hosts[0]
	time.Sleep(time.Second)

	end := time.Now().Add(slowFor)
	var open atomic.Int64
	var crowd sync.WaitGroup
	if r.trouble {
		for n := range slowCrowd {
			crowd.Add(1)
			go func() {
				defer crowd.Done()
				r.sendSlowly(h, n, end, &open)
			}()
			if n%50 == 49 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		time.Sleep(2 * time.Second)
		r.note("%d callers of the crowd have sent their heads", open.Load())
	}
	var mu sync.Mutex
	lastTaken, longest := time.Now(), time.Duration(0)
	answered, tried := 0, 0
	var ordinary sync.WaitGroup
	for n := range ordinaryCallers {
		ordinary.Add(1)
		go func() {
			defer ordinary.Done()
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			for k := 0; time.Now().Before(end.Add(-2 * time.Second)); k++ {
				start := time.Now()
				status, err := r.lookup(h, fmt.Sprintf("o%02d-%03d", n, k))
				mu.Lock()
				tried++
				if status != 0 {
					answered++
					longest = max(longest, time.Since(lastTaken))
					lastTaken = time.Now()
				}
				mu.Unlock()
				if status == 0 {
					r.note("ordinary caller %d, try %d: no answer after %v (%v), ready: %v", n, k, time.Since(start).Round(time.Millisecond), err, h.isReady())
				}
				time.Sleep(time.Until(start.Add(time.Second)))
			}
		}()
	}
	ordinary.Wait()
	mu.Lock()
	longest = max(longest, time.Since(lastTaken))
	mu.Unlock()
	r.note("%d tries of ordinary callers, %d answered; the longest time without one taken: %v", tried, answered, longest.Round(time.Millisecond))
	select {
	case <-h.ended:
		r.note("the process ended: %v", h.endErr)
		return broken
	default:
	}
	if longest > takesNone {
		r.note("RECOVER is broken")
		return broken
	}
	return held
}

// sendSlowly sends the head of an order, and its body in pieces.
func (r *run) sendSlowly(h *host, n int, end time.Time, open *atomic.Int64) {
	c, err := net.DialTimeout("tcp", h.front, 5*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /orders/ HTTP/1.1\r\nHost: lookups.example\r\n%s: slow-%05d\r\n%s: 1500\r\nContent-Length: %d\r\n\r\n",
		r.names.RequestID, n, r.names.Deadline, slowLength)
	io.WriteString(c, strings.Repeat("x", slowFirst))
	open.Add(1)
	for time.Now().Before(end) {
		if _, err := io.WriteString(c, "0123456789"); err != nil {
			return
		}
		time.Sleep(slowPieceFor)
	}
}

// lookup sends one request on a new connection and returns the status of its answer, 0
// for none.
func (r *run) lookup(h *host, id string) (int, error) {
	c, err := net.DialTimeout("tcp", h.front, ordinaryWait)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(1200 * time.Millisecond))
	fmt.Fprintf(c, "GET /lookups/ HTTP/1.1\r\nHost: lookups.example\r\n%s: %s\r\n%s: 1200\r\n\r\n", r.names.RequestID, id, r.names.Deadline)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}
