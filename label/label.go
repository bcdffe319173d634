// Package label implements sets of labels and the selectors that match them.
package label

import (
	"slices"
	"strings"
)

// Pair is a label key with its value.
type Pair struct {
	Key   string
	Value string
}

// Set is a set of labels, sorted by key, with at most one value per key. It is
// a sorted slice so that no result depends on map iteration order.
type Set []Pair

// NewSet returns the set of the given pairs. If several pairs have the same
// key, the last one takes effect.
func NewSet(pairs ...Pair) Set {
	set := make(Set, 0, len(pairs))
	for _, pair := range pairs {
		set = set.With(pair.Key, pair.Value)
	}
	return set
}

// Get returns the value of a key and whether the key is present.
func (s Set) Get(key string) (string, bool) {
	i, ok := s.find(key)
	if !ok {
		return "", false
	}
	return s[i].Value, true
}

// With returns a set in which key has the given value. It may modify the
// underlying array of s, as append does.
func (s Set) With(key, value string) Set {
	i, ok := s.find(key)
	if ok {
		s[i].Value = value
		return s
	}
	return slices.Insert(s, i, Pair{Key: key, Value: value})
}

// String returns the set as key=value pairs separated by commas.
func (s Set) String() string {
	var b strings.Builder
	for i, pair := range s {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(pair.Key)
		b.WriteByte('=')
		b.WriteString(pair.Value)
	}
	return b.String()
}

func (s Set) find(key string) (int, bool) {
	return slices.BinarySearchFunc(s, key, func(p Pair, k string) int {
		return strings.Compare(p.Key, k)
	})
}
