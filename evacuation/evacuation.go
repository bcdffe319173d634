// Package evacuation keeps which failure domains the operators have emptied.
// Nothing is sent to the backend servers of an emptied domain until it is taken
// back. Marks come from the store and from other entry hosts in any order, late and
// more than once: of two marks of a domain, the newer one holds.
package evacuation

import (
	"cmp"
	"slices"
)

const (
	// MaxDomains bounds the failure domains with marks.
	MaxDomains = 1024
	// MaxNameBytes bounds the name of a failure domain.
	MaxNameBytes = 200
)

// Mark reports whether a failure domain is emptied, as of an era of the store and
// a revision in it.
type Mark struct {
	Domain   string
	Emptied  bool
	Era      uint64
	Revision uint64
}

// newer reports whether m holds over another mark of its domain: the one with the
// higher era, then the higher revision. Of two with the same, that of an emptied
// domain holds, so that all hosts decide alike and on the safe side.
func (m Mark) newer(than Mark) bool {
	order := cmp.Or(cmp.Compare(m.Era, than.Era), cmp.Compare(m.Revision, than.Revision))
	return order > 0 || order == 0 && m.Emptied && !than.Emptied
}

// Table holds the newest mark of each failure domain. Marks of domains that were
// taken back are kept as well, so that an older mark of another host does not empty
// the domain again. The zero value is an empty table.
type Table struct {
	marks map[string]Mark
}

// Emptied reports whether a failure domain is emptied.
func (t *Table) Emptied(domain string) bool { return t.marks[domain].Emptied }

// Known reports whether the table has a mark of a failure domain.
func (t *Table) Known(domain string) bool {
	_, known := t.marks[domain]
	return known
}

// Learn adds a mark if it is newer than the known one of its domain. It reports
// whether the domain has become emptied, or has been taken back.
func (t *Table) Learn(m Mark) (changed bool) {
	known, exists := t.marks[m.Domain]
	if m.Domain == "" || len(m.Domain) > MaxNameBytes || exists && !m.newer(known) {
		return false
	}
	if !exists && len(t.marks) >= MaxDomains && !t.makeRoom(m) {
		return false
	}
	if t.marks == nil {
		t.marks = make(map[string]Mark)
	}
	t.marks[m.Domain] = m
	return m.Emptied != known.Emptied
}

// makeRoom removes the oldest mark of a domain that was taken back, for that of an
// emptied domain. It reports whether there is room.
func (t *Table) makeRoom(m Mark) bool {
	if !m.Emptied {
		return false
	}
	var oldest Mark
	for _, candidate := range t.Marks() {
		if !candidate.Emptied && (oldest.Domain == "" || oldest.newer(candidate)) {
			oldest = candidate
		}
	}
	delete(t.marks, oldest.Domain)
	return oldest.Domain != ""
}

// Listed applies a complete listing of the store as of a revision, which holds the
// marks of all emptied domains. A domain that it lacks is taken back if its mark is
// older than the listing. With keepEarlier, it is not taken back if the mark is of an
// earlier era: the store may have lost it. The result holds the domains whose state
// has changed.
func (t *Table) Listed(era, revision uint64, marks []Mark, keepEarlier bool) (changed []string) {
	listed := make(map[string]bool, len(marks))
	for _, m := range marks {
		listed[m.Domain] = true
		if t.Learn(m) {
			changed = append(changed, m.Domain)
		}
	}
	for _, known := range t.Marks() {
		back := Mark{Domain: known.Domain, Era: era, Revision: revision}
		if keepEarlier && known.Era < era {
			continue
		}
		if known.Emptied && !listed[known.Domain] && t.Learn(back) {
			changed = append(changed, known.Domain)
		}
	}
	return changed
}

// EmptiedBefore reports whether any domain is emptied by a mark of an era before the
// given one.
func (t *Table) EmptiedBefore(era uint64) bool {
	for _, m := range t.marks {
		if m.Emptied && m.Era < era {
			return true
		}
	}
	return false
}

// Mark returns the mark of a failure domain, or a zero mark if there is none.
func (t *Table) Mark(domain string) Mark { return t.marks[domain] }

// Marks returns all marks, sorted by domain.
func (t *Table) Marks() []Mark {
	marks := make([]Mark, 0, len(t.marks))
	for _, m := range t.marks {
		marks = append(marks, m)
	}
	slices.SortFunc(marks, func(a, b Mark) int { return cmp.Compare(a.Domain, b.Domain) })
	return marks
}

// Domains returns the emptied failure domains, sorted by name.
func (t *Table) Domains() []string {
	var domains []string
	for _, m := range t.Marks() {
		if m.Emptied {
			domains = append(domains, m.Domain)
		}
	}
	return domains
}
