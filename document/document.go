// Package document parses JSON documents with comments: the manifest, service
// parts, the host list and settings. Each problem has a file, a line and a
// reason, and all problems of a document are reported together.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"

	"wisteriapond/config"
)

// MaxBytes is the size limit of a document, in bytes. It is the largest value
// that the configuration service stores.
const MaxBytes = 1 << 20

// FileSuffix is appended to the key of a value to form the name of its file.
const FileSuffix = ".json"

// ManifestKey is the key of the manifest in the configuration service.
const ManifestKey = "manifest"

// partPrefix is the prefix of the keys of service parts.
const partPrefix = "services/"

// PartKey returns the key of a service part in the configuration service.
func PartKey(service string) string { return partPrefix + service }

// FileName returns the name of the file that stores the value of a key in a
// configuration directory. Problems contain this name even if the value came
// from the configuration service, so that a running process and the check
// command report the same text.
func FileName(key string) string { return key + FileSuffix }

// Error lists every problem for which a document was refused.
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

// ProblemTexts returns the text of each problem of a refused document, or the
// text of any other error as the only element.
func ProblemTexts(err error) []string {
	var documentErr *Error
	if errors.As(err, &documentErr) {
		return documentErr.Texts()
	}
	return []string{err.Error()}
}

// HashOf returns the hash by which a manifest identifies a service part: the
// SHA-256 hash of its text in lower-case hexadecimal.
func HashOf(raw []byte) config.Hash {
	sum := sha256.Sum256(raw)
	return config.Hash(hex.EncodeToString(sum[:]))
}
