package peer

import (
	"errors"
	"reflect"
	"strings"
	"unicode"

	"github.com/fxamacker/cbor/v2"

	"wisteriapond/codec"
	"wisteriapond/core"
	"wisteriapond/document"
)

// MaxMessage is the size limit of an encoded message in bytes: one document of
// maximum size and room for the other fields.
const MaxMessage = document.MaxBytes + 64<<10

var errTooLarge = errors.New("encoded message exceeds the size limit")

// kindUnknown is the kind of fields that this release does not know.
const kindUnknown = "unknown"

var (
	messageType  = reflect.TypeFor[core.Message]()
	messageCodec = codec.For(messageType)
	kinds        = kindNames()
)

// Encode returns the encoding of a message. It fails if the encoding exceeds
// MaxMessage.
func Encode(m *core.Message) ([]byte, error) {
	raw, err := messageCodec.Encode(reflect.ValueOf(m).Elem())
	if err != nil {
		return nil, err
	}
	if len(raw) > MaxMessage {
		return nil, errTooLarge
	}
	return raw, nil
}

// Decode decodes a single message of at most MaxMessage bytes.
func Decode(raw []byte) (core.Message, error) {
	var m core.Message
	if len(raw) > MaxMessage {
		return m, errTooLarge
	}
	err := messageCodec.Decode(raw, reflect.ValueOf(&m).Elem())
	return m, err
}

// decodeFirst decodes the first message of a batch and returns the bytes after
// it.
func decodeFirst(raw []byte) (m core.Message, rest []byte, err error) {
	rest, err = messageCodec.DecodeFirst(raw, reflect.ValueOf(&m).Elem())
	return m, rest, err
}

// Kinds returns the kinds of messages, the names of the fields of core.Message in
// snake case. A message with several fields set counts towards several kinds.
func Kinds() []string { return kinds }

func kindNames() []string {
	names := make([]string, messageType.NumField())
	for i := range names {
		names[i] = snakeCase(messageType.Field(i).Name)
	}
	return names
}

func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// countBytesByKind calls count with the size in bytes of each field of a message.
func countBytesByKind(m *core.Message, raw []byte, count func(kind string, n int64)) {
	if kind, ok := singleKind(m); ok {
		count(kind, int64(len(raw)))
		return
	}
	var fields map[int]cbor.RawMessage
	if err := cbor.Unmarshal(raw, &fields); err != nil {
		return
	}
	for number, value := range fields {
		count(fieldKind(number), int64(len(value))+1)
	}
}

// singleKind returns the kind of a message with exactly one field set. Most
// messages have just one, which saves decoding them again.
func singleKind(m *core.Message) (string, bool) {
	value := reflect.ValueOf(m).Elem()
	kind := ""
	for i := range value.NumField() {
		if value.Field(i).IsZero() {
			continue
		}
		if kind != "" {
			return "", false
		}
		kind = kinds[i]
	}
	return kind, kind != ""
}

func fieldKind(number int) string {
	if number < 1 || number > len(kinds) {
		return kindUnknown
	}
	return kinds[number-1]
}
