package eventlog

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"wisteriapond/core"
)

// ErrTruncated reports that the log ends within a record, as it does when the
// recording process was killed. The preceding records are complete.
var ErrTruncated = errors.New("the log ends within a record")

// maxHeaderBytes bounds the length of the header line.
const maxHeaderBytes = 128

// Reader reads the events of a log.
type Reader struct {
	source *bufio.Reader
	// records is the number of records read.
	records int
}

// NewReader reads the header line of a log. It returns an error unless the log
// was recorded with the same event types as those of this build.
func NewReader(source io.Reader) (*Reader, error) {
	r := &Reader{source: bufio.NewReaderSize(source, 64<<10)}
	line := make([]byte, 0, maxHeaderBytes)
	for len(line) < maxHeaderBytes {
		b, err := r.source.ReadByte()
		if err != nil {
			return nil, &Error{Reason: "no header line found", Err: err}
		}
		line = append(line, b)
		if b == '\n' {
			break
		}
	}
	if string(line) != header() {
		return nil, &Error{Reason: "the log was recorded by another build, or the file is no event log"}
	}
	return r, nil
}

// Next returns the next event and its instant. It returns io.EOF after the last
// record and ErrTruncated when the log ends within a record.
func (r *Reader) Next() (core.Instant, core.Event, error) {
	raw, err := r.nextRecord()
	if err != nil {
		return 0, nil, err
	}
	r.records++
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
		return nil, &Error{Reason: "cannot read the length of a record", Err: err}
	case size > maxRecordBytes:
		return nil, &Error{Reason: "record is too large"}
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(r.source, raw); err != nil {
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil, ErrTruncated
		}
		return nil, &Error{Reason: "cannot read a record", Err: err}
	}
	return raw, nil
}
