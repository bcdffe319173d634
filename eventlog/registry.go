package eventlog

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wisteriapond/codec"
	"wisteriapond/core"
)

// registered lists every event type with its tag in the log. A tag is never
// used again for another type.
var registered = []struct {
	tag   uint64
	event core.Event
}{
	{1, core.Start{}},
	{2, core.Tick{}},
	{3, core.StopRequested{}},
	{4, core.RequestArrived{}},
	{5, core.AnswerBegun{}},
	{6, core.AttemptFinished{}},
	{7, core.AnswerDelivered{}},
	{8, core.CallerGone{}},
	{9, core.ManifestRead{}},
	{10, core.PartRead{}},
	{11, core.DocumentRefused{}},
	{12, core.PlatformFailed{}},
	{13, core.HostListRead{}},
	{14, core.PeerMessage{}},
	{15, core.PeerUnreachable{}},
	{16, core.ProbeFinished{}},
	{17, core.StatusRequested{}},
	{18, core.ExplainRequested{}},
	{19, core.StoreListed{}},
	{20, core.StoreChanged{}},
	{21, core.StoreFailed{}},
	{22, core.NewsAsked{}},
	{23, core.NewsAnswered{}},
	{24, core.SettingsChanged{}},
}

// entry is a registered event type.
type entry struct {
	tag   uint64
	typ   reflect.Type
	codec *codec.Codec
}

var (
	byType = make(map[reflect.Type]*entry)
	byTag  = make(map[uint64]*entry)
	// schema changes with every field of every event, so that a log is never
	// replayed by a build that would read it differently.
	schema uint64
)

func init() {
	var fields []string
	for _, r := range registered {
		typ := reflect.TypeOf(r.event)
		e := &entry{tag: r.tag, typ: typ, codec: codec.For(typ)}
		byType[typ] = e
		byTag[r.tag] = e
		fields = append(fields, fmt.Sprintf("%d %s", r.tag, typ))
		fields = append(fields, codec.Fields(typ)...)
	}
	schema = xxhash.Sum64String(strings.Join(fields, "\n"))
}

// record is one event as it stands in the log.
type record struct {
	_     struct{} `cbor:",toarray"`
	At    core.Instant
	Tag   uint64
	Event rawEvent
}

func encodeEvent(at core.Instant, event core.Event) ([]byte, error) {
	e := byType[reflect.TypeOf(event)]
	if e == nil {
		return nil, &Error{Reason: fmt.Sprintf("event type %T is not registered", event)}
	}
	raw, err := e.codec.Encode(reflect.ValueOf(event))
	if err != nil {
		return nil, err
	}
	return encoding.Marshal(record{At: at, Tag: e.tag, Event: raw})
}

func decodeEvent(raw []byte) (core.Instant, core.Event, error) {
	var r record
	if err := decoding.Unmarshal(raw, &r); err != nil {
		return 0, nil, err
	}
	e := byTag[r.Tag]
	if e == nil {
		return 0, nil, &Error{Reason: fmt.Sprintf("unknown event tag %d", r.Tag)}
	}
	value := reflect.New(e.typ).Elem()
	if err := e.codec.Decode(r.Event, value); err != nil {
		return 0, nil, err
	}
	return r.At, value.Interface().(core.Event), nil
}
