package eventlog

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"sync/atomic"

	"github.com/apex/log"

	"wisteriapond/core"
	"wisteriapond/metrics"
)

// maxPendingEvents bounds the number of events that wait to be written.
const maxPendingEvents = 1 << 14

// CounterEvents counts by result: "written" is added for each event written to
// the log, "dropped" once for each recording that was abandoned.
const CounterEvents = metrics.RecordedEvents

// pendingEvent is an event that waits to be written.
type pendingEvent struct {
	at    core.Instant
	event core.Event
}

// Recorder writes events to a file. The control goroutine passes them on through
// a channel and never blocks: when the writer falls behind by more than
// maxPendingEvents, the recording is discarded, since a log with gaps cannot be
// replayed.
type Recorder struct {
	file    *os.File
	limit   int64
	log     log.Interface
	count   func(counter core.Counter, label string, n int64)
	pending chan pendingEvent
	// stopped is set when no more events are accepted, and overflowed when the
	// reason is that the writer fell behind.
	stopped    atomic.Bool
	overflowed atomic.Bool
	// size is the size of the log in bytes, including buffered data.
	size int64
}

// previousSuffix is appended to the file name of the recording of the previous
// run, so that a host that restarts after a fault does not overwrite it.
const previousSuffix = ".previous"

// Create starts a recording in a new file. It first renames an existing recording
// of that name to the name with the suffix .previous, which replaces the one before
// it. The recording stops before the file exceeds limit
// bytes; the log up to that point can be replayed. The recorder calls count with
// CounterEvents.
func Create(file string, limit int64, logger log.Interface, count func(core.Counter, string, int64)) (*Recorder, error) {
	if err := os.Rename(file, file+previousSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, &Error{Reason: "cannot rename the previous recording", Err: err}
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, &Error{Reason: "cannot create the file", Err: err}
	}
	return &Recorder{
		file:    f,
		limit:   limit,
		log:     logger.WithField("file", file),
		count:   count,
		pending: make(chan pendingEvent, maxPendingEvents),
	}, nil
}

// Record passes an event to the writer. It never blocks. The event must not be
// modified afterwards.
func (r *Recorder) Record(at core.Instant, event core.Event) {
	if r.stopped.Load() {
		return
	}
	select {
	case r.pending <- pendingEvent{at: at, event: event}:
	default:
		r.overflowed.Store(true)
		r.stopped.Store(true)
	}
}

// Run writes events until ctx is done, and then the events that are still
// pending. It returns earlier when the recording is complete or abandoned. It
// always returns nil.
func (r *Recorder) Run(ctx context.Context) error {
	out := bufio.NewWriterSize(r.file, 64<<10)
	err := r.write(ctx, out)
	r.stopped.Store(true)
	if err == nil {
		err = out.Flush()
	}
	if closeErr := r.file.Close(); err == nil {
		err = closeErr
	}
	switch {
	case r.overflowed.Load():
		r.count(CounterEvents, "dropped", 1)
		r.log.Error("event recording discarded: the writer fell behind")
		os.Remove(r.file.Name())
	case err != nil:
		r.count(CounterEvents, "dropped", 1)
		r.log.WithError(err).Error("event recording failed")
	}
	// A failed recording must not stop the host.
	return nil
}

func (r *Recorder) write(ctx context.Context, out *bufio.Writer) error {
	n, err := out.WriteString(header())
	r.size = int64(n)
	if err != nil {
		return err
	}
	for !r.overflowed.Load() {
		select {
		case p := <-r.pending:
			if full, err := r.writeEvent(out, p); full || err != nil {
				return err
			}
		case <-ctx.Done():
			return r.drain(out)
		}
	}
	return nil
}

func (r *Recorder) drain(out *bufio.Writer) error {
	for {
		select {
		case p := <-r.pending:
			if full, err := r.writeEvent(out, p); full || err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// writeEvent appends an event to the log. It reports full when the event would
// exceed the size limit.
func (r *Recorder) writeEvent(out io.Writer, p pendingEvent) (full bool, err error) {
	raw, err := encodeEvent(p.at, p.event)
	if err != nil {
		return false, err
	}
	prefix := binary.AppendUvarint(nil, uint64(len(raw)))
	newSize := r.size + int64(len(prefix)+len(raw))
	if newSize > r.limit || len(raw) > maxRecordBytes {
		r.stopped.Store(true)
		r.log.WithField("bytes", r.size).Info("event recording complete: size limit reached")
		return true, nil
	}
	r.size = newSize
	if _, err := out.Write(prefix); err != nil {
		return false, err
	}
	if _, err := out.Write(raw); err != nil {
		return false, err
	}
	r.count(CounterEvents, "written", 1)
	return false, nil
}
