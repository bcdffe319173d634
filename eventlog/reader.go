package eventlog

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"wisteriapond/core"
)

// ErrTruncated says that the log ends within a record, as after the end of the
// recording process. The events before it are whole.
var ErrTruncated = errors.New("the log ends within a record")

// maxHeader bounds the header line.
const maxHeader = 128

// Reader reads a log.
type Reader struct {
	source *bufio.Reader
	record int
}

// NewReader checks the header of a log.
func NewReader(source io.Reader) (*Reader, error) {
	r := &Reader{source: bufio.NewReaderSize(source, 64<<10)}
	line := make([]byte, 0, maxHeader)
	for len(line) < maxHeader {
		b, err := r.source.ReadByte()
		if err != nil {
			return nil, &Error{Reason: "no header", Err: err}
		}
		line = append(line, b)
		if b == '\n' {
			break
		}
	}
	if string(line) != header() {
		return nil, &Error{Reason: "the log was recorded by another build, or it is no event log"}
	}
	return r, nil
}

// Next returns the next event with its instant. It returns io.EOF after the
// last one and ErrTruncated when the log ends within one.
func (r *Reader) Next() (core.Instant, core.Event, error) {
	raw, err := r.nextRecord()
	if err != nil {
		return 0, nil, err
	}
	r.record++
	at, event, err := decodeEvent(raw)
	if err != nil {
		return 0, nil, &Error{Reason: "malformed record", Err: err}
	}
	return at, event, nil
}

func (r *Reader) nextRecord() ([]byte, error) {
	size, err := binary.ReadUvarint(r.source)
	switch {
	case err == io.EOF:
		return nil, io.EOF
	case err == io.ErrUnexpectedEOF:
		return nil, ErrTruncated
	case err != nil:
		return nil, &Error{Reason: "cannot be read", Err: err}
	case size > maxRecord:
		return nil, &Error{Reason: "record is too large"}
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(r.source, raw); err != nil {
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil, ErrTruncated
		}
		return nil, &Error{Reason: "cannot be read", Err: err}
	}
	return raw, nil
}
