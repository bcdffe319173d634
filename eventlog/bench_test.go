package eventlog

import (
	"path/filepath"
	"reflect"
	"testing"

	"wisteriapond/core"
)

// BenchmarkRecord measures the hand-over of an event to the writer, both ends of
// it. BenchmarkEncodeEvent measures what it costs the writer.
func BenchmarkRecord(b *testing.B) {
	r, err := Create(filepath.Join(b.TempDir(), "events"), 1<<30, logger, nil)
	if err != nil {
		b.Fatal(err)
	}
	event := filled(reflect.TypeFor[core.RequestArrived]())
	for b.Loop() {
		r.Record(1, event)
		<-r.pending
	}
}

func BenchmarkEncodeEvent(b *testing.B) {
	event := filled(reflect.TypeFor[core.RequestArrived]())
	for b.Loop() {
		if _, err := encodeEvent(1, event); err != nil {
			b.Fatal(err)
		}
	}
}
