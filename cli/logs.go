package cli

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
)

const (
	// maxLogLines bounds the lines that wait for a reader of the output.
	maxLogLines = 1024
	// logFlushTime bounds the wait for the reader at the end of the process.
	logFlushTime = 500 * time.Millisecond
)

// logOutput is the writer of log lines.
type logOutput struct{ io.Writer }

func newLogger(w io.Writer) *log.Logger {
	return &log.Logger{Handler: jsonlog.New(w), Level: log.InfoLevel}
}

// lineQueue writes lines in the background, so that a reader which stops holds
// nothing up. Lines that find no place are counted, and the count is written
// once there is place again.
type lineQueue struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
	close   func()
}

func newLineQueue(to io.Writer) *lineQueue {
	q := &lineQueue{to: to, lines: make(chan []byte, maxLogLines), ended: make(chan struct{})}
	stop := make(chan struct{})
	q.close = sync.OnceFunc(func() { close(stop) })
	go q.run(stop)
	return q
}

// Write queues one line. It never blocks and never fails.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *lineQueue) run(stop <-chan struct{}) {
	defer close(q.ended)
	for {
		select {
		case line := <-q.lines:
			q.put(line)
		case <-stop:
			q.drain()
			return
		}
	}
}

// put writes a line. Nobody could be told that the output is broken.
func (q *lineQueue) put(line []byte) {
	q.to.Write(line)
	if n := q.dropped.Swap(0); n > 0 {
		fmt.Fprintf(q.to, `{"level":"warn","message":"log lines were dropped","fields":{"lines":"%d"}}`+"\n", n)
	}
}

func (q *lineQueue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.put(line)
		default:
			return
		}
	}
}

// Close writes the lines that wait, as far as the reader takes them.
func (q *lineQueue) Close() {
	q.close()
	select {
	case <-q.ended:
	case <-time.After(logFlushTime):
	}
}
