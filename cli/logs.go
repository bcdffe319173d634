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
	// maxQueuedEntries bounds the number of log entries that wait to be written.
	maxQueuedEntries = 1024
	// logFlushTimeout bounds the time for which the end of the process waits for
	// the output.
	logFlushTimeout = 500 * time.Millisecond
)

// logOutput is the writer of log entries.
type logOutput struct{ io.Writer }

func newLogger(w io.Writer) *log.Logger {
	return &log.Logger{Handler: jsonlog.New(w), Level: log.InfoLevel}
}

// logQueue writes log entries in the background, so that a blocked output does
// not delay the process. Entries that arrive while the queue is full are dropped
// and counted, and their number is logged after the next entry.
type logQueue struct {
	output  io.Writer
	entries chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   func()
}

func newLogQueue(w io.Writer) *logQueue {
	q := &logQueue{output: w, entries: make(chan []byte, maxQueuedEntries), done: make(chan struct{})}
	stop := make(chan struct{})
	q.close = sync.OnceFunc(func() { close(stop) })
	go q.run(stop)
	return q
}

// Write queues one entry. It never blocks and never returns an error.
func (q *logQueue) Write(entry []byte) (int, error) {
	select {
	case q.entries <- append([]byte(nil), entry...):
	default:
		q.dropped.Add(1)
	}
	return len(entry), nil
}

func (q *logQueue) run(stop <-chan struct{}) {
	defer close(q.done)
	for {
		select {
		case entry := <-q.entries:
			q.writeEntry(entry)
		case <-stop:
			q.drain()
			return
		}
	}
}

// writeEntry writes an entry and the number of entries dropped since the last
// one. Errors are ignored: there is no other output to report them to.
func (q *logQueue) writeEntry(entry []byte) {
	q.output.Write(entry)
	if n := q.dropped.Swap(0); n > 0 {
		fmt.Fprintf(q.output, `{"level":"warn","message":"log lines were dropped","fields":{"lines":"%d"}}`+"\n", n)
	}
}

func (q *logQueue) drain() {
	for {
		select {
		case entry := <-q.entries:
			q.writeEntry(entry)
		default:
			return
		}
	}
}

// Close writes the queued entries, and returns after logFlushTimeout even if some
// of them are not written.
func (q *logQueue) Close() {
	q.close()
	select {
	case <-q.done:
	case <-time.After(logFlushTimeout):
	}
}
