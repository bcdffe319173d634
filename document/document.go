// Package document reads JSON with comments into the typed documents of
// packages config and settings. Problems carry file, line and reason, and a
// document is refused with all of its problems at once.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"

	"wisteriapond/config"
)

// MaxBytes is the largest document that the configuration service holds.
const MaxBytes = 1 << 20

// FileSuffix follows the key of a value in the name of its file.
const FileSuffix = ".json"

// ManifestKey is the key of the manifest in the configuration service.
const ManifestKey = "manifest"

// partPrefix precedes the name of a service in the key of its part.
const partPrefix = "services/"

// PartKey returns the key of a service part in the configuration service.
func PartKey(service string) string { return partPrefix + service }

// FileName returns the file name of a key in a configuration directory. Problems
// name it also when the value came from the configuration service, so that a
// running process and the check command report the same text.
func FileName(key string) string { return key + FileSuffix }

// Error holds every reason why a document was refused.
type Error struct {
	Problems []config.Problem
}

// Error returns one problem per line.
func (e *Error) Error() string { return strings.Join(e.Texts(), "\n") }

// Texts returns each problem as "file:line: field: reason".
func (e *Error) Texts() []string {
	texts := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		texts = append(texts, problem.Error())
	}
	return texts
}

// ProblemTexts returns the problems of a refused document, or the text of any other
// error.
func ProblemTexts(err error) []string {
	var refused *Error
	if errors.As(err, &refused) {
		return refused.Texts()
	}
	return []string{err.Error()}
}

// HashOf returns the hash by which a manifest names a part.
func HashOf(raw []byte) config.Hash {
	sum := sha256.Sum256(raw)
	return config.Hash(hex.EncodeToString(sum[:]))
}
