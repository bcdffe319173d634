package eventlog

import (
	"path/filepath"
	"reflect"
	"testing"

	"wisteriapond/core"
)

// BenchmarkRecord measures passing an event through the channel to the writer,
// including the receive.
func BenchmarkRecord(b *testing.B) {
	r, err := Create(filepath.Join(b.TempDir(), "events"), 1<<30, logger, nil)
	if err != nil {
		b.Fatal(err)
	}
	event := filledEvent(reflect.TypeFor[core.RequestArrived]())
	for b.Loop() {
		r.Record(1, event)
		<-r.pending
	}
}

// BenchmarkEncodeEvent measures encoding an event, which is done by the writer.
func BenchmarkEncodeEvent(b *testing.B) {
	event := filledEvent(reflect.TypeFor[core.RequestArrived]())
	for b.Loop() {
		if _, err := encodeEvent(1, event); err != nil {
			b.Fatal(err)
		}
	}
}
