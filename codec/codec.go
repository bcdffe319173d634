// Package codec encodes plain structs as compact CBOR and decodes them within
// strict limits. The structs need no tags: the key of a field on the wire is its
// position in the declaration, counted from 1, and fields with zero values are
// omitted. New fields must therefore be appended to a struct; older releases ignore
// them.
package codec

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder.
const (
	// maxNesting is twice the nesting depth of the deepest encoded type.
	maxNesting = 16
	// maxArrayElements allows one leaving mark for each of 37,000 upstreams.
	maxArrayElements = 1 << 16
	// maxMapPairs bounds the fields of an encoded struct.
	maxMapPairs = 1 << 10
)

// Error reports a value of a type that could not be encoded or decoded.
type Error struct {
	Type string
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("codec: %s: %v", e.Type, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("codec: invalid options of the CBOR encoder: %v", err))
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("codec: invalid options of the CBOR decoder: %v", err))
	}
	return mode
}

// Codec encodes and decodes one struct type.
type Codec struct {
	typ  reflect.Type
	wire reflect.Type
}

// For returns the codec of a struct type. It panics if the type is not supported,
// for example because of an unexported field, so that the mistake shows when the
// process starts.
func For(typ reflect.Type) *Codec {
	return &Codec{typ: typ, wire: wireType(typ, nil)}
}

// Encode returns the encoding of a value of the codec's type.
func (c *Codec) Encode(value reflect.Value) ([]byte, error) {
	wire := reflect.New(c.wire)
	copyValue(wire.Elem(), value)
	raw, err := encoder.Marshal(wire.Interface())
	if err != nil {
		return nil, &Error{Type: c.typ.String(), Err: err}
	}
	return raw, nil
}

// Decode decodes raw into target, a settable value of the codec's type. It ignores
// unknown fields.
func (c *Codec) Decode(raw []byte, target reflect.Value) error {
	wire := reflect.New(c.wire)
	if err := decoder.Unmarshal(raw, wire.Interface()); err != nil {
		return &Error{Type: c.typ.String(), Err: err}
	}
	copyValue(target, wire.Elem())
	return nil
}

// DecodeFirst decodes the first of several concatenated encodings, as Decode does.
// It returns the bytes after that encoding.
func (c *Codec) DecodeFirst(raw []byte, target reflect.Value) (rest []byte, err error) {
	wire := reflect.New(c.wire)
	rest, err = decoder.UnmarshalFirst(raw, wire.Interface())
	if err != nil {
		return nil, &Error{Type: c.typ.String(), Err: err}
	}
	copyValue(target, wire.Elem())
	return rest, nil
}
