package codec

import (
	"encoding/hex"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// minPackedLength is the minimum length in bytes of a string that is packed.
// Shorter strings are not checked for hexadecimal text.
const minPackedLength = 32

// packedString is the wire type of all named string types. Text in lower-case
// hexadecimal is encoded as the bytes it represents, which halves the size of
// hashes.
type packedString string

var packedStringType = reflect.TypeFor[packedString]()

// MarshalCBOR encodes hexadecimal text as a byte string and any other text as a
// text string.
func (p packedString) MarshalCBOR() ([]byte, error) {
	if raw, ok := p.bytes(); ok {
		return encoder.Marshal(raw)
	}
	return encoder.Marshal(string(p))
}

// bytes returns the bytes that hexadecimal text represents. It reports false for
// text with upper-case digits too, which would be decoded in lower case.
func (p packedString) bytes() ([]byte, bool) {
	if len(p) < minPackedLength {
		return nil, false
	}
	raw, err := hex.DecodeString(string(p))
	if err != nil || hex.EncodeToString(raw) != string(p) {
		return nil, false
	}
	return raw, true
}

// UnmarshalCBOR decodes a byte string or a text string.
func (p *packedString) UnmarshalCBOR(raw []byte) error {
	var bytes []byte
	if err := decoder.Unmarshal(raw, &bytes); err == nil {
		*p = packedString(hex.EncodeToString(bytes))
		return nil
	}
	var text string
	if err := decoder.Unmarshal(raw, &text); err != nil {
		return err
	}
	*p = packedString(text)
	return nil
}

var (
	_ cbor.Marshaler   = packedString("")
	_ cbor.Unmarshaler = (*packedString)(nil)
)
