package generation

import (
	"bytes"
	"errors"

	"wisteriapond/config"
)

// A manifest names every service, so it is far longer than the usual change
// to it. Peers therefore send the difference to a manifest that the receiver
// has. The hash of the result is checked like that of any document.

// maxLookAhead bounds the search for the next line that both documents have.
const maxLookAhead = 64

// ErrInvalidPatch says that a patch does not fit the document.
var ErrInvalidPatch = errors.New("patch does not fit the document")

// Patch turns the document with hash Base into another.
type Patch struct {
	Base  config.Hash
	Edits []Edit
}

// Edit copies bytes of the old document and then inserts new ones.
type Edit struct {
	Offset int
	Length int
	Insert []byte
}

// Diff returns the difference between two documents, or nil when sending the
// new one whole costs about as much.
func Diff(base config.Hash, before, after []byte) *Patch {
	d := differ{before: splitEntries(before), after: splitEntries(after)}
	edits := d.run()
	size := 0
	for _, edit := range edits {
		size += len(edit.Insert)
	}
	if size > len(after)/2 {
		return nil
	}
	return &Patch{Base: base, Edits: edits}
}

// splitEntries cuts a document after each comma, which separates the entries of a
// manifest whether or not it has line breaks.
func splitEntries(document []byte) [][]byte {
	return bytes.SplitAfter(document, []byte{','})
}

type differ struct {
	before, after [][]byte
	offset        int
	edits         []Edit
}

func (d *differ) run() []Edit {
	i, j := 0, 0
	for j < len(d.after) {
		if i < len(d.before) && bytes.Equal(d.before[i], d.after[j]) {
			d.copy(len(d.before[i]))
			i, j = i+1, j+1
			continue
		}
		skip, insert := d.resync(i, j)
		for ; insert > 0; insert-- {
			d.insert(d.after[j])
			j++
		}
		for ; skip > 0; skip-- {
			d.offset += len(d.before[i])
			i++
		}
	}
	return d.edits
}

// resync returns how many entries to skip and to insert until both documents
// agree again, with the fewest entries in sum.
func (d *differ) resync(i, j int) (skip, insert int) {
	for sum := 1; sum <= maxLookAhead; sum++ {
		for skip := 0; skip <= sum; skip++ {
			insert := sum - skip
			if i+skip < len(d.before) && j+insert < len(d.after) && bytes.Equal(d.before[i+skip], d.after[j+insert]) {
				return skip, insert
			}
		}
	}
	return min(1, len(d.before)-i), 1
}

func (d *differ) copy(length int) {
	last := len(d.edits) - 1
	if last >= 0 && len(d.edits[last].Insert) == 0 && d.edits[last].Offset+d.edits[last].Length == d.offset {
		d.edits[last].Length += length
	} else {
		d.edits = append(d.edits, Edit{Offset: d.offset, Length: length})
	}
	d.offset += length
}

func (d *differ) insert(entry []byte) {
	if len(d.edits) == 0 {
		d.edits = append(d.edits, Edit{})
	}
	last := &d.edits[len(d.edits)-1]
	last.Insert = append(last.Insert, entry...)
}

// Apply returns the document that a patch makes of the old one. The result is
// bounded by limit bytes.
func Apply(before []byte, patch *Patch, limit int) ([]byte, error) {
	var after []byte
	for _, edit := range patch.Edits {
		if edit.Offset < 0 || edit.Length < 0 || edit.Offset > len(before) || edit.Length > len(before)-edit.Offset {
			return nil, ErrInvalidPatch
		}
		if len(after)+edit.Length+len(edit.Insert) > limit {
			return nil, ErrInvalidPatch
		}
		after = append(after, before[edit.Offset:edit.Offset+edit.Length]...)
		after = append(after, edit.Insert...)
	}
	return after, nil
}
