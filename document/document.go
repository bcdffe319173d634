// Package document reads JSON with comments into the typed documents of
// packages config and settings. Problems carry file, line and reason.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tailscale/hujson"

	"wisteriapond/config"
)

// MaxBytes is the largest document that the configuration service holds.
const MaxBytes = 1 << 20

// Error says why a document was refused. Line counts from 1; 0 means that the
// line is not known.
type Error struct {
	File   string
	Line   int
	Reason string
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// HashOf returns the hash by which a manifest names a part.
func HashOf(raw []byte) config.Hash {
	sum := sha256.Sum256(raw)
	return config.Hash(hex.EncodeToString(sum[:]))
}

// Decode reads a document into target and refuses unknown fields.
func Decode(file string, raw []byte, target any) error {
	if len(raw) > MaxBytes {
		return &Error{File: file, Reason: fmt.Sprintf("larger than %d bytes", MaxBytes)}
	}
	// Standardize keeps the offsets, so that lines can be told from them.
	standard, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return &Error{File: file, Reason: err.Error()}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &Error{File: file, Line: lineAt(raw, errorOffset(decoder, err)), Reason: err.Error()}
	}
	return nil
}

func errorOffset(decoder *json.Decoder, err error) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return wrongType.Offset
	}
	return decoder.InputOffset()
}

func lineAt(raw []byte, offset int64) int {
	end := min(int(offset), len(raw))
	return 1 + bytes.Count(raw[:end], []byte{'\n'})
}
