package kit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one request that an upstream has begun to work on.
type Run struct {
	Attempt, Method, Path, Body, Upstream string
	At                                    time.Time
}

// Upstream is a stand-in for an upstream. Fields are set before Start.
type Upstream struct {
	ID, Service, Zone string
	// Slots is the number of requests that run at a time, Queue the number of
	// those that wait. Others are turned away.
	Slots, Queue int
	Work         time.Duration
	// RetryAfter is the wait in seconds that a full upstream asks for, if any.
	RetryAfter string
	// TellsLoad adds the load header to the answers.
	TellsLoad bool
	// LoseAnswer, if set, reports whether the answer to a request that has run is
	// lost with its connection.
	LoseAnswer func(attempt string) bool
	// RepeatAnswer, if set, returns how much later than an answer a second copy of
	// it is sent on the same connection, 0 for no copy.
	RepeatAnswer func(attempt string, status int) time.Duration

	record   *Record
	store    *Store
	listener net.Listener
	born     int64

	mu       sync.Mutex
	free     *sync.Cond
	running  int
	waiting  int
	leaving  bool
	stopped  bool
	sequence int
	runs     []Run
	answers  int
	repeats  int
	conns    map[net.Conn]bool
}

// Start listens and registers the upstream.
func (u *Upstream) Start(store *Store, record *Record) error {
	var err error
	if u.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	u.record, u.store, u.born = record, store, time.Now().UnixMilli()
	u.free = sync.NewCond(&u.mu)
	u.conns = make(map[net.Conn]bool)
	go u.accept()
	u.register("ready")
	return nil
}

func (u *Upstream) register(state string) {
	u.sequence++
	u.store.Register(Entry{
		ID: u.ID, Service: u.Service, Address: u.listener.Addr().String(), Zone: u.Zone, State: state,
		Slots: u.Slots, Sequence: u.sequence, Born: u.born,
	})
}

// Leave reports in the store that the upstream is draining. It goes on serving.
func (u *Upstream) Leave() {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	u.register("draining")
}

// Stop ends the upstream with all of its connections.
func (u *Upstream) Stop() {
	u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	for conn := range u.conns {
		conn.Close()
	}
}

// Runs returns the requests that have run.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Counts returns the number of answers and of second copies sent.
func (u *Upstream) Counts() (answers, repeats int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.answers, u.repeats
}

func (u *Upstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[conn] = true
		u.mu.Unlock()
		go u.serve(conn)
	}
}

func (u *Upstream) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	write := func(answer []byte) error {
		writing.Lock()
		defer writing.Unlock()
		_, err := conn.Write(answer)
		return err
	}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.RequestURI == "/health" {
			write(u.health())
			continue
		}
		answer, status, lost := u.handle(request, body)
		if lost {
			conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if write(answer) != nil {
			return
		}
		u.repeat(request.Header.Get(names.Attempt), status, func() error { return write(answer) })
	}
}

// repeat sends a second copy of an answer late, if there shall be one.
func (u *Upstream) repeat(attempt string, status int, write func() error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers++
	if u.RepeatAnswer == nil {
		return
	}
	delay := u.RepeatAnswer(attempt, status)
	if delay == 0 {
		return
	}
	u.repeats++
	time.AfterFunc(delay, func() {
		err := write()
		u.record.Add("%s: second copy of the answer %d to %s sent %v late, error %v", u.ID, status, attempt, delay, err)
	})
}

// handle turns a request away or runs it.
func (u *Upstream) handle(request *http.Request, body []byte) (answer []byte, status int, lost bool) {
	attempt := request.Header.Get(names.Attempt)
	if target := request.Header.Get(names.Target); target != "" && target != u.ID {
		return u.encode(421, attempt, names.NotRun+": 1\r\n", ""), 421, false
	}
	u.mu.Lock()
	if u.running >= u.Slots && u.waiting >= u.Queue {
		u.mu.Unlock()
		u.record.Add("%s: turned away %s, full", u.ID, attempt)
		extra := names.NotRun + ": 1\r\n"
		if u.RetryAfter != "" {
			extra += "Retry-After: " + u.RetryAfter + "\r\n"
		}
		return u.encode(503, attempt, extra, ""), 503, false
	}
	u.waiting++
	for u.running >= u.Slots {
		u.free.Wait()
	}
	u.waiting--
	u.running++
	run := Run{Attempt: attempt, Method: request.Method, Path: request.RequestURI, Body: string(body), Upstream: u.ID, At: time.Now()}
	u.runs = append(u.runs, run)
	u.mu.Unlock()
	u.record.Add("%s: runs %s %s %s, remaining %s", u.ID, attempt, run.Method, run.Path, request.Header.Get(names.Remaining))
	time.Sleep(u.Work)
	u.mu.Lock()
	u.running--
	u.free.Signal()
	u.mu.Unlock()
	if u.LoseAnswer != nil && u.LoseAnswer(attempt) {
		u.record.Add("%s: the answer to %s is lost", u.ID, attempt)
		return nil, 0, true
	}
	return u.encode(200, attempt, names.Signature+": "+Signature(attempt)+"\r\n", "done "+attempt), 200, false
}

// Signature returns the digest of the answer to a request.
func Signature(attempt string) string { return "sig." + attempt }

func (u *Upstream) health() []byte {
	u.mu.Lock()
	leaving := u.leaving
	u.mu.Unlock()
	status := 200
	if leaving {
		status = 503
	}
	return u.encode(status, "", names.Instance+": "+u.ID+"\r\n", "")
}

func (u *Upstream) encode(status int, attempt, extra, body string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if attempt != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", names.Attempt, attempt)
	}
	if u.TellsLoad {
		fmt.Fprintf(&b, "%s: %d,%d,%d\r\n", names.Load, u.running, u.waiting, u.Slots)
	}
	if u.leaving {
		fmt.Fprintf(&b, "%s: 1\r\n", names.Leaving)
	}
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n%s", extra, len(body), body)
	return b.Bytes()
}
