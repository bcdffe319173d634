package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case "stalled": servers fall silent in the middle of long answers.
const (
	stalledServers   = 14
	stalledSlots     = 3
	stalledBytes     = 2_000_000
	stalledPieces    = 40
	stalledPieceWait = 8 * time.Millisecond
	stalledWork      = 60 * time.Millisecond
	// stalledTimeoutMs is the route's time limit, and stalledBudgetMs the caller's.
	stalledTimeoutMs = 800
	stalledBudgetMs  = 2000
	// A final answer is due this long after the route's time limit.
	stalledSlack = 500 * time.Millisecond
	// Two of fourteen servers are silent at a time, for 4.5 s.
	stalledShare    = 2
	stalledFor      = 4500 * time.Millisecond
	stalledEpisodes = 7
	stalledEvery    = 6 * time.Second
	stalledInterval = 20 * time.Millisecond
	// The rule names eight requests, and a quarter.
	stalledFew = 8
)

// silence makes a server fall silent: it sends nothing and takes nothing, until its
// connections are reset.
type silence struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *silence) end(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.until[id]
}

// wait blocks while the server is silent. It reports whether the server has crashed
// meanwhile.
func (s *silence) wait(id string) bool {
	left := time.Until(s.end(id))
	if left <= 0 {
		return false
	}
	time.Sleep(left)
	return true
}

func stalled(r *run) int {
	s, err := newStore(r.names)
	must(err)
	s.publish(7, limits{16000, 2_000_000, 2000, 8000}, 220,
		route{"proofs", "proofs.example", "/proofs/", r.names.Download, stalledTimeoutMs, 300, 2, "proofs"})
	dark := &silence{until: make(map[string]time.Time)}
	answer := make([]byte, stalledBytes)
	for i := range answer {
		answer[i] = byte('a' + i%26)
	}
	serve := func(u *upstream, c net.Conn, q *http.Request, _ []byte) bool {
		time.Sleep(stalledWork)
		crash := func() bool {
			if !dark.wait(u.id) {
				return false
			}
			c.(*net.TCPConn).SetLinger(0)
			return true
		}
		if crash() {
			return false
		}
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", u.head(q, 200), len(answer)); err != nil {
			return false
		}
		for n := range stalledPieces {
			if crash() {
				return false
			}
			size := len(answer) / stalledPieces
			if _, err := c.Write(answer[n*size : (n+1)*size]); err != nil {
				return false
			}
			time.Sleep(stalledPieceWait)
		}
		return true
	}
	for i := range stalledServers {
		u, err := newUpstream(r.names, fmt.Sprintf("i-proofs-%02d", i), stalledSlots, serve)
		must(err)
		u.silent = func() bool { return dark.wait(u.id) }
		s.register(u.id, "proofs", u.address(), zones[i%len(zones)]["name"], stalledSlots, "ready", 1, time.Now().UnixMilli())
	}
	r.startHosts(3, s)
	time.Sleep(time.Second)

	end := time.Now().Add(stalledEpisodes * stalledEvery)
	if r.trouble {
		go func() {
			for n := range stalledEpisodes {
				time.Sleep(stalledEvery / 6)
				dark.mu.Lock()
				for i := range stalledShare {
					id := fmt.Sprintf("i-proofs-%02d", (n*stalledShare+i)%stalledServers)
					dark.until[id] = time.Now().Add(stalledFor)
					r.note("server %s falls silent for %v", id, stalledFor)
				}
				dark.mu.Unlock()
				time.Sleep(stalledEvery - stalledEvery/6)
			}
		}()
	}
	var group sync.WaitGroup
	var late, long, sent atomic.Int64
	for n := 0; time.Now().Before(end); n++ {
		group.Add(1)
		go func() {
			defer group.Done()
			r.download(n, &late, &long, &sent)
		}()
		time.Sleep(stalledInterval)
	}
	group.Wait()
	r.note("%d requests, %d lasted longer than the route's %d ms, %d of these had no final answer %v after it",
		sent.Load(), long.Load(), stalledTimeoutMs, late.Load(), stalledSlack)
	if late.Load() >= stalledFew && 4*late.Load() > long.Load() {
		r.note("CONFIG is broken: eight or more, and over a quarter")
		return broken
	}
	return held
}

// download sends one request and waits for its final answer, or until the caller's time
// is over.
func (r *run) download(n int, late, long, sent *atomic.Int64) {
	h := r.hosts[n%len(r.hosts)]
	id := fmt.Sprintf("c%05d", n)
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		r.note("%s no connection to %s: %v", id, h.name, err)
		return
	}
	defer c.Close()
	sent.Add(1)
	start := time.Now()
	c.SetDeadline(start.Add(stalledBudgetMs * time.Millisecond))
	fmt.Fprintf(c, "GET /proofs/%d HTTP/1.1\r\nHost: proofs.example\r\n%s: %s\r\n%s: %d\r\n\r\n", n, r.names.RequestID, id, r.names.Deadline, stalledBudgetMs)
	got, status := int64(0), 0
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		status = response.StatusCode
		got, err = io.Copy(io.Discard, response.Body)
	}
	took := time.Since(start)
	if took <= stalledTimeoutMs*time.Millisecond {
		return
	}
	long.Add(1)
	outcome := "ended"
	if took > stalledTimeoutMs*time.Millisecond+stalledSlack {
		late.Add(1)
		outcome = "NO FINAL ANSWER IN TIME"
	}
	r.note("%s at %s: status %d, %d bytes, after %v: %s (%v)", id, h.name, status, got, took.Round(time.Millisecond), outcome, err)
}
