package document

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"
)

// maxNesting bounds the nesting depth of lists and objects: the parser recurses,
// and a document of MaxBytes could otherwise nest half a million levels deep.
const maxNesting = 32

var errTooDeep = fmt.Errorf("lists and objects are nested more than %d deep", maxNesting)

func parseTree(raw []byte, limit int) (hujson.Value, error) {
	if len(raw) > limit {
		return hujson.Value{}, fmt.Errorf("larger than %d bytes", limit)
	}
	if nestingDepth(raw) > maxNesting {
		return hujson.Value{}, errTooDeep
	}
	return hujson.Parse(raw)
}

// nestingDepth returns the maximum nesting depth of brackets outside strings and
// comments.
func nestingDepth(raw []byte) int {
	depth, maxDepth := 0, 0
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; c {
		case '"':
			i = endOfString(raw, i+1)
		case '/':
			i = endOfComment(raw, i)
		case '[', '{':
			depth++
			maxDepth = max(maxDepth, depth)
		case ']', '}':
			depth--
		}
	}
	return maxDepth
}

// endOfString returns the index of the quote that closes the string whose
// content starts at i, or at least len(raw) if it is not closed.
func endOfString(raw []byte, i int) int {
	for i < len(raw) && raw[i] != '"' {
		if raw[i] == '\\' {
			i++
		}
		i++
	}
	return i
}

// endOfComment returns the index of the last byte of the comment that starts at
// i, or i if no comment starts there.
func endOfComment(raw []byte, i int) int {
	if i+1 >= len(raw) {
		return i
	}
	switch raw[i+1] {
	case '/':
		for i < len(raw) && raw[i] != '\n' {
			i++
		}
	case '*':
		i += 3
		for i < len(raw) && (raw[i-1] != '*' || raw[i] != '/') {
			i++
		}
	}
	return i
}

// lineIndex holds the offset of the first byte of each line.
type lineIndex []int

func newLineIndex(raw []byte) lineIndex {
	index := lineIndex{0}
	for i, c := range raw {
		if c == '\n' {
			index = append(index, i+1)
		}
	}
	return index
}

// at returns the line that contains an offset, counted from 1.
func (l lineIndex) at(offset int) int {
	line, found := slices.BinarySearch(l, offset)
	if found {
		return line + 1
	}
	return line
}

// parserPosition matches the position with which a parse error of hujson starts.
var parserPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

// syntaxError splits an error of parseTree into a line and a reason, which
// includes the column. The line is 0 if the error has no position.
func (l lineIndex) syntaxError(err error) (line int, reason string) {
	text := err.Error()
	match := parserPosition.FindStringSubmatch(text)
	if match == nil {
		return 0, text
	}
	line, _ = strconv.Atoi(match[1])
	if inner := errors.Unwrap(err); inner != nil {
		return line, "column " + match[2] + ": " + inner.Error()
	}
	return line, "column " + match[2] + ": " + text[len(match[0]):]
}
