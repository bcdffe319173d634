package codec

import (
	"encoding/hex"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// minPacked is the length from which a string is worth being looked at.
const minPacked = 32

// packed is a string that is encoded as bytes when it is the hexadecimal form
// of some, which halves the size of hashes. It stands for every named string
// type.
type packed string

var packedType = reflect.TypeFor[packed]()

// MarshalCBOR writes a byte string for hexadecimal text and a text string for
// any other.
func (p packed) MarshalCBOR() ([]byte, error) {
	if raw, ok := p.bytes(); ok {
		return encoder.Marshal(raw)
	}
	return encoder.Marshal(string(p))
}

// bytes returns what the text is the hexadecimal form of. Upper-case digits
// would not come back as they were.
func (p packed) bytes() ([]byte, bool) {
	if len(p) < minPacked {
		return nil, false
	}
	raw, err := hex.DecodeString(string(p))
	if err != nil || hex.EncodeToString(raw) != string(p) {
		return nil, false
	}
	return raw, true
}

// UnmarshalCBOR reads either form.
func (p *packed) UnmarshalCBOR(raw []byte) error {
	var bytes []byte
	if err := decoder.Unmarshal(raw, &bytes); err == nil {
		*p = packed(hex.EncodeToString(bytes))
		return nil
	}
	var text string
	if err := decoder.Unmarshal(raw, &text); err != nil {
		return err
	}
	*p = packed(text)
	return nil
}

var (
	_ cbor.Marshaler   = packed("")
	_ cbor.Unmarshaler = (*packed)(nil)
)
