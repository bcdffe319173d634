package storeage

// maxRemoved bounds the removed entries that are remembered.
const maxRemoved = 1024

// Write is a write or the removal of an entry.
type Write struct {
	// At is the position of the write. Its revision is 0 if it is unknown.
	At Age
	// Instance identifies the run of the writer, and rises with each run. Sequence
	// counts the writes of a run. Both are unknown in a removal.
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
)

// Entries holds the last known write of each entry. The zero value is empty.
type Entries struct {
	known   map[string]Write
	removed int
}

// Record judges a write, and remembers it if it is applied.
func (e *Entries) Record(id string, write Write) Verdict {
	known, ok := e.known[id]
	if ok && write.At.Revision > 0 && (write.At.Before(known.At) || write.At == known.At && known.Removed && !write.Removed) {
		// A removal that was concluded from a listing without the entry has the
		// position of the listing, which may be that of the entry's last write.
		return Outdated
	}
	e.set(id, known, write)
	return Apply
}

// set replaces the known write of an entry.
func (e *Entries) set(id string, known, write Write) {
	if write.At.Before(known.At) {
		// The revision of the write is unknown.
		write.At = known.At
	}
	if write.Removed {
		write.Instance, write.Sequence = known.Instance, known.Sequence
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

// forgetOldestRemoved keeps the number of removed entries at maxRemoved.
func (e *Entries) forgetOldestRemoved() {
	if e.removed <= maxRemoved {
		return
	}
	oldest, found := "", false
	for id, write := range e.known {
		if !write.Removed {
			continue
		}
		order := write.At.Compare(e.known[oldest].At)
		if !found || order < 0 || order == 0 && id < oldest {
			oldest, found = id, true
		}
	}
	delete(e.known, oldest)
	e.removed--
}

// Last returns the position of the last known write of an entry, the zero Age if
// none is known.
func (e *Entries) Last(id string) Age { return e.known[id].At }
