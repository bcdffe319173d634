package label_test

import (
	"testing"

	"wisteriapond/label"
)

// Guards against input that makes the parser panic, and against a selector
// whose String form parses to a selector with a different meaning.
func FuzzSelector(f *testing.F) {
	f.Add("tier=old,!fragile,region in (mtl, qc)", "tier=old,region=qc")
	f.Add("a notin (b),c!=d,e", "e=1")
	f.Fuzz(func(t *testing.T, source, labels string) {
		selector, err := label.Parse(source)
		if err != nil {
			return
		}
		reparsed, err := label.Parse(selector.String())
		if err != nil {
			t.Fatalf("%q parses, but its String form %q does not: %v", source, selector.String(), err)
		}
		set := parseSet(labels)
		if selector.Matches(set) != reparsed.Matches(set) {
			t.Fatalf("%q and the selector parsed from its String form differ on the labels %v", source, set)
		}
	})
}
