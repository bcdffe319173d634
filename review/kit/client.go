package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is a request of a client, sent on a new connection.
type Request struct {
	Attempt, Method, Host, Path, Body string
	// Budget is the time that the client waits.
	Budget time.Duration
}

// Answer is what a client got. Status is 0 for none.
type Answer struct {
	Status                   int
	Attempt, Signature, Body string
	RetryAfter               string
	Err                      error
}

// Promised reports whether the answer says that the request has not run.
func (a *Answer) Promised() bool {
	switch a.Status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

// Send sends a request to an entry host and returns its answer.
func Send(record *Record, address string, r Request) (answer Answer) {
	answer = send(record, address, r)
	if answer.Err != nil {
		record.Add("client: %s got no answer: %v", r.Attempt, answer.Err)
	} else {
		record.Add("client: %s got %d %q", r.Attempt, answer.Status, answer.Body)
	}
	return answer
}

func send(record *Record, address string, r Request) (answer Answer) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(r.Budget))
	record.Add("client: %s %s %s sent to %s", r.Attempt, r.Method, r.Path, address)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Path, r.Host,
		names.Attempt, r.Attempt, names.Remaining, r.Budget.Milliseconds())
	if r.Method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	if _, err := io.WriteString(conn, head+"\r\n"+r.Body); err != nil {
		answer.Err = err
		return answer
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		answer.Err = err
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		answer.Err = err
		return answer
	}
	answer.Status, answer.Body = response.StatusCode, string(body)
	answer.Attempt = response.Header.Get(names.Attempt)
	answer.Signature = response.Header.Get(names.Signature)
	answer.RetryAfter = response.Header.Get("Retry-After")
	return answer
}
