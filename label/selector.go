package label

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// MaxSelectorBytes is the maximum length of a selector, in bytes.
const MaxSelectorBytes = 4096

// ErrSyntax is wrapped by every error that Parse returns.
var ErrSyntax = errors.New("invalid selector")

type operator int

const (
	exists operator = iota
	notExists
	in
	notIn
)

// term is one condition of a selector. Equality is represented as membership in
// a set of one value.
type term struct {
	key    string
	op     operator
	values []string
	source string
}

// Selector is a conjunction of terms over labels. The zero Selector matches
// every set.
type Selector struct {
	terms  []term
	source string
}

// Parse parses a selector: terms separated by commas, each of the form "key",
// "!key", "key=value", "key!=value", "key in (a,b)" or "key notin (a,b)". A set
// without the key matches "!=" and "notin". An empty selector matches every
// set.
func Parse(source string) (Selector, error) {
	if len(source) > MaxSelectorBytes {
		return Selector{}, fmt.Errorf("%w: longer than %d bytes", ErrSyntax, MaxSelectorBytes)
	}
	selector := Selector{source: strings.TrimSpace(source)}
	if selector.source == "" {
		return selector, nil
	}
	for _, part := range splitTerms(selector.source) {
		t, err := parseTerm(part)
		if err != nil {
			return Selector{}, err
		}
		selector.terms = append(selector.terms, t)
	}
	return selector, nil
}

// Matches reports whether the set satisfies every term.
func (s Selector) Matches(set Set) bool {
	return s.FailingTerm(set) == ""
}

// FailingTerm returns the source text of the first term that the set does not
// satisfy, or the empty string if the set matches.
func (s Selector) FailingTerm(set Set) string {
	for i := range s.terms {
		if !s.terms[i].matches(set) {
			return s.terms[i].source
		}
	}
	return ""
}

// String returns the source text of the selector.
func (s Selector) String() string { return s.source }

func (t *term) matches(set Set) bool {
	value, present := set.Get(t.key)
	switch t.op {
	case exists:
		return present
	case notExists:
		return !present
	case in:
		return present && slices.Contains(t.values, value)
	default:
		return !present || !slices.Contains(t.values, value)
	}
}

// splitTerms splits a selector at the commas outside parentheses.
func splitTerms(source string) []string {
	var parts []string
	depth, start := 0, 0
	for i, r := range source {
		switch r {
		case '(':
			depth++
		case ')':
			depth--
		case ',':
			if depth == 0 {
				parts = append(parts, source[start:i])
				start = i + 1
			}
		}
	}
	return append(parts, source[start:])
}

func parseTerm(part string) (term, error) {
	source := strings.TrimSpace(part)
	if key, values, ok := strings.Cut(source, "("); ok {
		return parseSetTerm(source, key, values)
	}
	if key, value, ok := strings.Cut(source, "!="); ok {
		return newTerm(source, key, notIn, value)
	}
	if key, value, ok := strings.Cut(source, "="); ok {
		return newTerm(source, key, in, value)
	}
	if key, ok := strings.CutPrefix(source, "!"); ok {
		return newTerm(source, key, notExists)
	}
	return newTerm(source, source, exists)
}

// parseSetTerm parses a term with a list of values. prefix is the text before
// the opening parenthesis, suffix the text after it.
func parseSetTerm(source, prefix, suffix string) (term, error) {
	list, ok := strings.CutSuffix(suffix, ")")
	if !ok {
		return term{}, fmt.Errorf("%w: missing ) in %q", ErrSyntax, source)
	}
	fields := strings.Fields(prefix)
	if len(fields) != 2 {
		return term{}, fmt.Errorf("%w: want \"key in (values)\" or \"key notin (values)\", got %q", ErrSyntax, source)
	}
	switch fields[1] {
	case "in":
		return newTerm(source, fields[0], in, strings.Split(list, ",")...)
	case "notin":
		return newTerm(source, fields[0], notIn, strings.Split(list, ",")...)
	}
	return term{}, fmt.Errorf("%w: unknown operator %q in %q", ErrSyntax, fields[1], source)
}

func newTerm(source, key string, op operator, values ...string) (term, error) {
	t := term{key: strings.TrimSpace(key), op: op, source: source}
	if !ValidKey(t.key) {
		return term{}, fmt.Errorf("%w: invalid key %q in %q", ErrSyntax, t.key, source)
	}
	for _, value := range values {
		value = strings.TrimSpace(value)
		if !ValidValue(value) {
			return term{}, fmt.Errorf("%w: invalid value %q in %q", ErrSyntax, value, source)
		}
		t.values = append(t.values, value)
	}
	return t, nil
}

// Maximum lengths of keys and values, in bytes.
const (
	MaxKeyBytes   = 128
	MaxValueBytes = 256
)

// ValidKey reports whether key consists of 1 to MaxKeyBytes ASCII letters,
// digits and characters of "-_./", and starts with a letter or digit.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes || !isAlphanumeric(key[0]) {
		return false
	}
	return !strings.ContainsFunc(key, func(r rune) bool { return !isKeyRune(r) })
}

// ValidValue reports whether value has 1 to MaxValueBytes bytes and contains no
// ASCII control characters, spaces or characters of the selector syntax.
func ValidValue(value string) bool {
	if value == "" || len(value) > MaxValueBytes {
		return false
	}
	return !strings.ContainsFunc(value, func(r rune) bool {
		return r <= ' ' || r == 0x7f || strings.ContainsRune("(),=!", r)
	})
}

func isAlphanumeric(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

func isKeyRune(r rune) bool {
	return r < 0x80 && (isAlphanumeric(byte(r)) || strings.ContainsRune("-_./", r))
}
