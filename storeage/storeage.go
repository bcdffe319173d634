// Package storeage orders what a host has read of a store whose reads may be of
// different ages: an older write of an entry never replaces a newer one.
//
// A position in the history of the store is an era and a revision. The era rises
// when the store comes back from a copy: revisions then start again from that of
// the copy and are given out a second time.
package storeage

import "cmp"

// Age is a position in the history of the store. The zero Age is before any other.
// Era 0 is that of a store that names no era.
type Age struct {
	Era      uint64
	Revision uint64
}

// Compare returns -1, 0 or 1 if a is before, the same as, or after b.
func (a Age) Compare(b Age) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Revision, b.Revision))
}

// Before reports whether a is before b.
func (a Age) Before(b Age) bool { return a.Compare(b) < 0 }
