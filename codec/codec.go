// Package codec writes plain structs as compact CBOR and reads them back
// within strict limits. The structs need no tags: a field's key on the wire is
// its number in the declaration, counted from 1, and zero fields are left out.
// New fields therefore go at the end of a struct, where readers that do not
// know them ignore them.
package codec

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// Limits of what a decoder accepts.
const (
	// maxNesting is twice the depth of the deepest type in use.
	maxNesting = 16
	// maxElements holds one leaving mark for each of 37,000 upstreams.
	maxElements = 1 << 16
	maxPairs    = 1 << 10
)

// Error is a value that could not be encoded or decoded.
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
		panic(fmt.Sprintf("options of the CBOR encoder: %v", err))
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("options of the CBOR decoder: %v", err))
	}
	return mode
}

// Codec encodes and decodes one struct type.
type Codec struct {
	typ  reflect.Type
	wire reflect.Type
}

// For returns the codec of a struct type. It panics when the type cannot be
// carried, such as one with unexported fields, so that a start of the process
// shows it.
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

// Decode reads an encoding into target, a settable value of the codec's type.
// Unknown fields are ignored.
func (c *Codec) Decode(raw []byte, target reflect.Value) error {
	wire := reflect.New(c.wire)
	if err := decoder.Unmarshal(raw, wire.Interface()); err != nil {
		return &Error{Type: c.typ.String(), Err: err}
	}
	copyValue(target, wire.Elem())
	return nil
}

// DecodeFirst is Decode for the first of several encodings that follow each
// other. It returns the bytes after it.
func (c *Codec) DecodeFirst(raw []byte, target reflect.Value) (rest []byte, err error) {
	wire := reflect.New(c.wire)
	rest, err = decoder.UnmarshalFirst(raw, wire.Interface())
	if err != nil {
		return nil, &Error{Type: c.typ.String(), Err: err}
	}
	copyValue(target, wire.Elem())
	return rest, nil
}
