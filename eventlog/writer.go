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

// pendingLimit bounds the events that wait to be written.
const pendingLimit = 1 << 14

// CounterEvents counts recorded events by result: "written" for events in the
// log, "dropped" for recordings that were given up.
const CounterEvents = metrics.RecordedEvents

// pending is an event on its way to the log.
type pending struct {
	at    core.Instant
	event core.Event
}

// Recorder writes events to a file. The control goroutine hands them over and
// never waits: when the writer falls behind, the whole recording is dropped,
// since a log with holes cannot be replayed.
type Recorder struct {
	file    *os.File
	limit   int64
	log     log.Interface
	count   func(counter core.Counter, label string, n int64)
	pending chan pending
	// over is set when no further event is taken; behind when the reason is
	// that the writer fell behind.
	over   atomic.Bool
	behind atomic.Bool
	size   int64
}

// keptSuffix marks the recording of the run before, which a host that was
// started again after a fault must not overwrite.
const keptSuffix = ".previous"

// Create begins a recording in a new file. It ends by itself when the file
// would grow beyond limit bytes; the log up to there can be replayed.
func Create(file string, limit int64, logger log.Interface, count func(core.Counter, string, int64)) (*Recorder, error) {
	if err := os.Rename(file, file+keptSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, &Error{Reason: "the recording before cannot be kept", Err: err}
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, &Error{Reason: "cannot be created", Err: err}
	}
	return &Recorder{
		file:    f,
		limit:   limit,
		log:     logger.WithField("file", file),
		count:   count,
		pending: make(chan pending, pendingLimit),
	}, nil
}

// Record hands an event to the writer. It never blocks. The event must not
// change afterwards.
func (r *Recorder) Record(at core.Instant, event core.Event) {
	if r.over.Load() {
		return
	}
	select {
	case r.pending <- pending{at: at, event: event}:
	default:
		r.behind.Store(true)
		r.over.Store(true)
	}
}

// Run writes events until ctx is done, then those that were handed over
// before.
func (r *Recorder) Run(ctx context.Context) error {
	out := bufio.NewWriterSize(r.file, 64<<10)
	err := r.write(ctx, out)
	r.over.Store(true)
	if err == nil {
		err = out.Flush()
	}
	if closeErr := r.file.Close(); err == nil {
		err = closeErr
	}
	switch {
	case r.behind.Load():
		r.count(CounterEvents, "dropped", 1)
		r.log.Error("recording dropped: the writer fell behind")
		os.Remove(r.file.Name())
	case err != nil:
		r.count(CounterEvents, "dropped", 1)
		r.log.WithError(err).Error("recording ended")
	}
	// A recording that fails does not end the host.
	return nil
}

func (r *Recorder) write(ctx context.Context, out *bufio.Writer) error {
	n, err := out.WriteString(header())
	r.size = int64(n)
	if err != nil {
		return err
	}
	for !r.behind.Load() {
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

// writeEvent reports full when the event has no place in the log any more.
func (r *Recorder) writeEvent(out io.Writer, p pending) (full bool, err error) {
	raw, err := encodeEvent(p.at, p.event)
	if err != nil {
		return false, err
	}
	prefix := binary.AppendUvarint(nil, uint64(len(raw)))
	grown := r.size + int64(len(prefix)+len(raw))
	if grown > r.limit || len(raw) > maxRecord {
		r.over.Store(true)
		r.log.WithField("bytes", r.size).Info("recording complete: size limit reached")
		return true, nil
	}
	r.size = grown
	if _, err := out.Write(prefix); err != nil {
		return false, err
	}
	if _, err := out.Write(raw); err != nil {
		return false, err
	}
	r.count(CounterEvents, "written", 1)
	return false, nil
}
