// Package eventlog records the events that a process handles, and replays them.
// A replay yields the same effects on any machine, because the only inputs of
// the reducer are the events and their instants.
//
// A log consists of a header line, "wisteriapond events 1 SCHEMA", and a sequence
// of records. Each record is prefixed with its length as an unsigned varint and
// holds a CBOR array of the instant, the tag of the event type and the encoded
// event.
package eventlog

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"wisteriapond/document"
)

// formatVersion is the version of the log format in the header line.
const formatVersion = 1

// maxRecordBytes bounds the size of a record. It leaves room for an event that
// holds a document of the maximum size in both its raw and its parsed form.
const maxRecordBytes = 4 * document.MaxBytes

// Error reports a log that cannot be written, read or replayed.
type Error struct {
	Reason string
	Err    error
}

func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("event log: %s: %v", e.Reason, e.Err)
	}
	return "event log: " + e.Reason
}

func (e *Error) Unwrap() error { return e.Err }

// rawEvent is an encoded event. It is a CBOR byte string within its record.
type rawEvent []byte

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("eventlog: invalid options of the CBOR encoder: %v", err))
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 4,
		IndefLength:     cbor.IndefLengthForbidden,
		TagsMd:          cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("eventlog: invalid options of the CBOR decoder: %v", err))
	}
	return mode
}

func header() string {
	return fmt.Sprintf("wisteriapond events %d %016x\n", formatVersion, schemaHash)
}
