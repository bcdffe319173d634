// Package eventlog records the events of a process and reads them back. A
// recorded run gives the same effects on any machine, since the reducer's only
// inputs are the events with their instants.
//
// A log is a header line, "wisteriapond events 1 SCHEMA", followed by records.
// Each record has its length as a varint and a CBOR array of instant, event
// tag and event.
package eventlog

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"wisteriapond/document"
)

// version is the version of the log's format.
const version = 1

// maxRecord holds an event with a document of the largest size in its raw and
// its parsed form.
const maxRecord = 4 * document.MaxBytes

// Error is a log that cannot be written or read.
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

// rawEvent is an encoded event, as a byte string within its record.
type rawEvent []byte

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("options of the CBOR encoder: %v", err))
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 4,
		IndefLength:     cbor.IndefLengthForbidden,
		TagsMd:          cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("options of the CBOR decoder: %v", err))
	}
	return mode
}

func header() string {
	return fmt.Sprintf("wisteriapond events %d %016x\n", version, schema)
}
