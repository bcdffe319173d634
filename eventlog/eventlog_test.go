package eventlog

import (
	"bytes"
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
)

var logger = &log.Logger{Handler: discard.New()}

// fill recursively sets every field of a value to a non-zero value.
func fill(value reflect.Value, n int) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fill(value.Field(i), n+i)
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), n)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fill(value.Index(0), n)
		fill(value.Index(1), n+1)
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i), n+i)
		}
	case reflect.String:
		value.SetString(string(rune('a' + n%26)))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(n) + 0.5)
	default:
		if value.CanInt() {
			value.SetInt(int64(n%50 + 1))
		} else {
			value.SetUint(uint64(n%50 + 1))
		}
	}
}

// filledEvent returns an event of the given type without zero fields.
func filledEvent(typ reflect.Type) core.Event {
	value := reflect.New(typ).Elem()
	fill(value, 1)
	return value.Interface().(core.Event)
}

// coreEventNames returns the names of the event types of package core, which it
// reads from the source: the types with a method named event.
func coreEventNames() []string {
	files, err := filepath.Glob("../core/*.go")
	Expect(err).NotTo(HaveOccurred())
	var names []string
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		Expect(err).NotTo(HaveOccurred())
		for _, declaration := range parsed.Decls {
			f, ok := declaration.(*ast.FuncDecl)
			if ok && f.Recv != nil && f.Name.Name == "event" {
				names = append(names, f.Recv.List[0].Type.(*ast.Ident).Name)
			}
		}
	}
	return names
}

// recordEvents records events and returns the log.
func recordEvents(file string, limit int64, events ...core.Event) []byte {
	recorder, err := Create(file, limit, logger, func(core.Counter, string, int64) {})
	Expect(err).NotTo(HaveOccurred())
	for i, event := range events {
		recorder.Record(core.Instant(i), event)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	Expect(recorder.Run(ctx)).To(Succeed())
	raw, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	return raw
}

// readEvents returns the events of a log and the error that ended the reading,
// io.EOF for a complete log.
func readEvents(raw []byte) (events []core.Event, err error) {
	reader, err := NewReader(bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	for {
		_, event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

var _ = Describe("The event log", func() {
	var (
		file   string
		events []core.Event
	)

	BeforeEach(func() {
		file = filepath.Join(GinkgoT().TempDir(), "events")
		events = nil
		for _, e := range eventTags {
			events = append(events, filledEvent(reflect.TypeOf(e.event)))
		}
	})

	// Guards against a new event type that is not registered, which would make
	// every recording that contains it fail.
	It("registers every event type of core", func() {
		var names []string
		for _, e := range eventTags {
			names = append(names, reflect.TypeOf(e.event).Name())
		}
		Expect(names).To(ConsistOf(coreEventNames()))
		Expect(byTag).To(HaveLen(len(eventTags)), "two event types share a tag")
	})

	// Guards against a replay of events that differ from those that the process
	// handled.
	It("returns every event as it was recorded", func() {
		got, err := readEvents(recordEvents(file, 1<<20, events...))
		Expect(err).To(Equal(io.EOF))
		Expect(got).To(Equal(events))
	})

	// Guards against a file that exceeds its size limit, and against a log that is
	// truncated within a record at the limit.
	It("stops at its size limit after a complete record", func() {
		complete := recordEvents(file, 1<<20, events...)
		for limit := len(header()); limit < len(complete); limit += 50 {
			raw := recordEvents(file, int64(limit), events...)
			Expect(len(raw)).To(BeNumerically("<=", limit))
			got, err := readEvents(raw)
			Expect(err).To(Equal(io.EOF))
			Expect(got).To(HaveExactElements(events[:len(got)]))
		}
	})

	// Guards against a writer that blocks the control goroutine, and against a log
	// with a gap that appears complete.
	It("discards the recording when the writer falls behind", func() {
		var mu sync.Mutex
		counts := make(map[string]int64)
		recorder, err := Create(file, 1<<30, logger, func(_ core.Counter, label string, n int64) {
			mu.Lock()
			defer mu.Unlock()
			counts[label] += n
		})
		Expect(err).NotTo(HaveOccurred())
		for i := range 2 * maxPendingEvents {
			recorder.Record(core.Instant(i), core.Tick{})
		}
		Expect(recorder.Run(context.Background())).To(Succeed())
		Expect(counts).To(HaveKeyWithValue("dropped", int64(1)))
		Expect(file).NotTo(BeAnExistingFile())
	})

	// Guards against a restart that overwrites the recording of a fault.
	It("keeps the recording of the previous run", func() {
		first := recordEvents(file, 1<<20, events...)
		recordEvents(file, 1<<20)
		Expect(os.ReadFile(file + previousSuffix)).To(Equal(first))
	})

	// Guards against a log of another build that is decoded incorrectly, and
	// against a damaged log that is read without an error.
	It("rejects truncated, foreign and malformed logs", func() {
		raw := recordEvents(file, 1<<20, events...)
		got, err := readEvents(raw[:len(raw)-1])
		Expect(err).To(MatchError(ErrTruncated))
		Expect(got).To(HaveLen(len(events) - 1))
		Expect(readEvents([]byte("wisteriapond events 1 0000000000000000\n"))).Error().To(MatchError(ContainSubstring("another build")))
		Expect(readEvents(nil)).Error().To(MatchError(ContainSubstring("no header")))
		Expect(readEvents(append([]byte(header()), 2, 0xff, 0xff))).Error().To(MatchError(ContainSubstring("malformed")))
		Expect(readEvents(append([]byte(header()), 0xff, 0xff, 0xff, 0xff, 0x7f))).Error().To(MatchError(ContainSubstring("too large")))
	})
})

// FuzzReader guards against logs that crash the reader, and against records that
// are decoded into events which cannot be encoded.
func FuzzReader(f *testing.F) {
	f.Fuzz(func(t *testing.T, records []byte) {
		reader, err := NewReader(io.MultiReader(bytes.NewReader([]byte(header())), bytes.NewReader(records)))
		if err != nil {
			t.Fatal(err)
		}
		for {
			at, event, err := reader.Next()
			if err != nil {
				return
			}
			if _, err := encodeEvent(at, event); err != nil {
				t.Fatalf("decoded event of type %T cannot be encoded: %v", event, err)
			}
		}
	})
}
