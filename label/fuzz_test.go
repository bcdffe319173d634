package label_test

import (
	"testing"

	"wisteriapond/label"
)

// Guards against selectors that make the parser panic, and against a selector
// that means something else when its own text is read again.
func FuzzSelector(f *testing.F) {
	f.Add("tier=old,!fragile,region in (mtl, qc)", "tier=old,region=qc")
	f.Add("a notin (b),c!=d,e", "e=1")
	f.Fuzz(func(t *testing.T, source, labels string) {
		selector, err := label.Parse(source)
		if err != nil {
			return
		}
		again, err := label.Parse(selector.String())
		if err != nil {
			t.Fatalf("%q parses, its text %q does not: %v", source, selector.String(), err)
		}
		set := parseSet(labels)
		if selector.Matches(set) != again.Matches(set) {
			t.Fatalf("%q and its text differ on %v", source, set)
		}
	})
}
