package generation

import (
	"bytes"
	"errors"

	"wisteriapond/config"
)

// A manifest names every service, so it is far longer than a usual change to
// it. Peers therefore send the difference from a manifest that the receiver
// already has. The hash of the result is verified like that of any document.

// maxLookAhead bounds the number of entries that are skipped and inserted in
// the search for the next entry that both documents have in common.
const maxLookAhead = 64

// ErrInvalidPatch means that a patch refers to bytes outside of its base
// document or that its result would exceed the size limit.
var ErrInvalidPatch = errors.New("patch does not fit its base document or exceeds the size limit")

// Patch turns the document with the hash Base into another document.
type Patch struct {
	Base  config.Hash
	Edits []Edit
}

// Edit copies Length bytes of the base document from Offset and then inserts
// new bytes.
type Edit struct {
	Offset int
	Length int
	Insert []byte
}

// Diff returns the difference between two documents, or nil if the inserted
// bytes exceed half of the new document, so that a patch saves little.
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

// splitEntries splits a document after each comma. Commas separate the entries
// of a manifest whether or not it contains line breaks.
func splitEntries(document []byte) [][]byte {
	return bytes.SplitAfter(document, []byte{','})
}

// differ collects the edits that turn the entries before into the entries after.
// offset is the position in the base document, in bytes.
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
// agree again, with the smallest sum of the two.
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

// Apply returns the document that results from applying a patch to its base
// document. It fails if the result would exceed limit bytes.
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
