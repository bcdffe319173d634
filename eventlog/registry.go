package eventlog

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wisteriapond/codec"
	"wisteriapond/core"
)

// eventTags assigns a tag in the log to every event type. The tag of a removed
// type must not be reused for another type.
var eventTags = []struct {
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
	{25, core.CallersCounted{}},
	{26, core.DescriptorsShort{}},
	{27, core.StoreResponding{}},
}

// eventType holds the tag and the codec of an event type.
type eventType struct {
	tag   uint64
	typ   reflect.Type
	codec *codec.Codec
}

var (
	byType = make(map[reflect.Type]*eventType)
	byTag  = make(map[uint64]*eventType)
	// schemaHash is a hash over the tags, names and fields of all event types.
	// The header line holds it, so that a build with different event types
	// rejects the log instead of decoding it incorrectly.
	schemaHash uint64
)

func init() {
	var fields []string
	for _, r := range eventTags {
		typ := reflect.TypeOf(r.event)
		e := &eventType{tag: r.tag, typ: typ, codec: codec.For(typ)}
		byType[typ] = e
		byTag[r.tag] = e
		fields = append(fields, fmt.Sprintf("%d %s", r.tag, typ))
		fields = append(fields, codec.Fields(typ)...)
	}
	schemaHash = xxhash.Sum64String(strings.Join(fields, "\n"))
}

// record is the content of a record in the log.
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
	return encMode.Marshal(record{At: at, Tag: e.tag, Event: raw})
}

func decodeEvent(raw []byte) (core.Instant, core.Event, error) {
	var r record
	if err := decMode.Unmarshal(raw, &r); err != nil {
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
