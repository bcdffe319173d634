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

// fill sets every field within a value to something other than zero.
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

func filled(typ reflect.Type) core.Event {
	value := reflect.New(typ).Elem()
	fill(value, 1)
	return value.Interface().(core.Event)
}

// eventTypes reads the names of the event types from the source of core.
func eventTypes() []string {
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

// written runs a recorder over events and returns the log.
func written(file string, limit int64, events ...core.Event) []byte {
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

func read(raw []byte) (events []core.Event, err error) {
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

var _ = Describe("the event log", func() {
	var (
		file   string
		events []core.Event
	)

	BeforeEach(func() {
		file = filepath.Join(GinkgoT().TempDir(), "events")
		events = nil
		for _, r := range registered {
			events = append(events, filled(reflect.TypeOf(r.event)))
		}
	})

	// Guards against a new event type that is missing in every recording.
	It("knows every event type of core", func() {
		var names []string
		for _, r := range registered {
			names = append(names, reflect.TypeOf(r.event).Name())
		}
		Expect(names).To(ConsistOf(eventTypes()))
		Expect(byTag).To(HaveLen(len(registered)), "two types share a tag")
	})

	// Guards against a replay that sees other events than the process saw.
	It("returns every event as it was recorded", func() {
		got, err := read(written(file, 1<<20, events...))
		Expect(err).To(Equal(io.EOF))
		Expect(got).To(Equal(events))
	})

	// Guards against an unbounded file and against a log cut within a record.
	It("ends at its size limit with a whole record", func() {
		whole := written(file, 1<<20, events...)
		for limit := len(header()); limit < len(whole); limit += 50 {
			raw := written(file, int64(limit), events...)
			Expect(len(raw)).To(BeNumerically("<=", limit))
			got, err := read(raw)
			Expect(err).To(Equal(io.EOF))
			Expect(got).To(HaveExactElements(events[:len(got)]))
		}
	})

	// Guards against a writer that holds up the control goroutine, and against
	// a log with a hole that looks whole.
	It("drops the recording when the writer falls behind", func() {
		var mu sync.Mutex
		counts := make(map[string]int64)
		recorder, err := Create(file, 1<<30, logger, func(_ core.Counter, label string, n int64) {
			mu.Lock()
			defer mu.Unlock()
			counts[label] += n
		})
		Expect(err).NotTo(HaveOccurred())
		for i := range 2 * pendingLimit {
			recorder.Record(core.Instant(i), core.Tick{})
		}
		Expect(recorder.Run(context.Background())).To(Succeed())
		Expect(counts).To(HaveKeyWithValue("dropped", int64(1)))
		Expect(file).NotTo(BeAnExistingFile())
	})

	// Guards against a restart that destroys the recording of the fault.
	It("keeps the recording of the run before", func() {
		first := written(file, 1<<20, events...)
		written(file, 1<<20)
		Expect(os.ReadFile(file + keptSuffix)).To(Equal(first))
	})

	// Guards against a log that is read as something it is not.
	It("refuses logs that are cut, foreign or malformed", func() {
		raw := written(file, 1<<20, events...)
		got, err := read(raw[:len(raw)-1])
		Expect(err).To(MatchError(ErrTruncated))
		Expect(got).To(HaveLen(len(events) - 1))
		Expect(read([]byte("wisteriapond events 1 0000000000000000\n"))).Error().To(MatchError(ContainSubstring("another build")))
		Expect(read(nil)).Error().To(MatchError(ContainSubstring("no header")))
		Expect(read(append([]byte(header()), 2, 0xff, 0xff))).Error().To(MatchError(ContainSubstring("malformed")))
		Expect(read(append([]byte(header()), 0xff, 0xff, 0xff, 0xff, 0x7f))).Error().To(MatchError(ContainSubstring("too large")))
	})
})

// FuzzReader guards against logs that crash the reader, and against records
// that it accepts but could not have written.
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
				t.Fatalf("event %T that was read cannot be written: %v", event, err)
			}
		}
	})
}
