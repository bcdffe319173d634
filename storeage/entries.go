package storeage

import (
	"cmp"
	"slices"
)

// maxRemoved bounds the removed entries that are remembered.
const maxRemoved = 1024

// Write is a write or the removal of an entry.
type Write struct {
	// At is the position of the write. Its revision is 0 if it is unknown.
	At Age
	// Instance identifies the run of the writer, and rises with each run. Sequence
	// counts the writes of a run, also those that the store has lost. Both are unknown
	// in a removal.
	Instance uint64
	Sequence uint64
	// Leaving is set once the writer has announced that it leaves.
	Leaving bool
	Removed bool
}

// Verdict tells what becomes of a write that was read or passed on.
type Verdict int

// The verdicts.
const (
	// Apply is that of a write which is not older than the known one.
	Apply Verdict = iota
	// Outdated is that of a write which is older than the known one.
	Outdated
	// ApplyLeaving is that of a write which is applied, but whose writer has announced
	// since that it leaves, in a write that the store has lost.
	ApplyLeaving
	// Withheld is that of a write which came back with a copy of the store, and whose
	// entry was removed since, in a removal that the store has lost. It is not applied.
	Withheld
)

// Entries holds the last known write of each entry. The zero value is empty.
type Entries struct {
	known   map[string]Write
	removed int
	// entered is the first position that is known of the latest era. Later writes of
	// that era are no part of the copy with which it began.
	entered Age
}

// Enter begins an era at the first position that is known of it.
func (e *Entries) Enter(at Age) { e.entered = at }

// Record judges a write, and remembers it if it is applied.
func (e *Entries) Record(id string, write Write) Verdict {
	known, ok := e.known[id]
	verdict := Apply
	if ok {
		verdict = e.judge(&known, &write)
	}
	switch verdict {
	case Outdated, Withheld:
		return verdict
	case ApplyLeaving:
		write.Leaving = true
	}
	e.set(id, known, write)
	return verdict
}

// judge compares a write with the last known one of its entry.
func (e *Entries) judge(known, write *Write) Verdict {
	switch {
	case write.At.Revision > 0 && write.At.Before(known.At):
		return Outdated
	case write.Removed:
		return Apply
	case write.At.Revision > 0 && write.At == known.At && known.Removed:
		// A removal that was concluded from a listing without the entry has the
		// position of the listing, which may be that of the entry's last write.
		return Outdated
	case write.At.Revision > 0 && write.At == known.At && known.Leaving && write.Instance == known.Instance:
		return ApplyLeaving
	case write.At.Era == known.At.Era || e.writtenSinceCopy(write):
		return Apply
	case write.Instance < known.Instance:
		return Outdated
	case write.Instance > known.Instance || write.Sequence > known.Sequence:
		return Apply
	case known.Removed:
		return Withheld
	case known.Leaving:
		return ApplyLeaving
	}
	return Apply
}

// writtenSinceCopy reports whether a write is known to be later than the copy with
// which the latest era began. Revisions alone do not order the writes of two eras.
func (e *Entries) writtenSinceCopy(write *Write) bool {
	return write.At.Era == e.entered.Era && write.At.Revision > e.entered.Revision
}

// Release forgets the removal of an entry, so that a withheld write of it is applied.
func (e *Entries) Release(id string) {
	if e.known[id].Removed {
		e.removed--
		delete(e.known, id)
	}
}

// set replaces the known write of an entry.
func (e *Entries) set(id string, known, write Write) {
	if write.At.Before(known.At) {
		// The revision of the write is unknown.
		write.At = known.At
	}
	if write.Removed {
		write.Instance, write.Sequence = known.Instance, known.Sequence
	} else if write.Instance == known.Instance {
		write.Sequence = max(write.Sequence, known.Sequence)
	}
	if e.known == nil {
		e.known = make(map[string]Write)
	}
	e.known[id] = write
	if known.Removed {
		e.removed--
	}
	if write.Removed {
		e.removed++
		e.forgetOldestRemoved()
	}
}

// forgetOldestRemoved forgets the older half of the removed entries once there are more
// than maxRemoved, so that a listing without thousands of entries scans all entries only
// a few times.
func (e *Entries) forgetOldestRemoved() {
	if e.removed <= maxRemoved {
		return
	}
	removed := make([]string, 0, e.removed)
	for id, write := range e.known {
		if write.Removed {
			removed = append(removed, id)
		}
	}
	slices.SortFunc(removed, func(a, b string) int {
		return cmp.Or(e.known[a].At.Compare(e.known[b].At), cmp.Compare(a, b))
	})
	for _, id := range removed[:len(removed)-maxRemoved/2] {
		delete(e.known, id)
	}
	e.removed = maxRemoved / 2
}

// Last returns the position of the last known write of an entry, the zero Age if
// none is known.
func (e *Entries) Last(id string) Age { return e.known[id].At }
