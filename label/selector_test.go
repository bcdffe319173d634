package label_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/label"
)

// Guards against a selector that matches labels it should not, which would send
// requests to hosts that the operator has excluded.
var _ = DescribeTable("Selector.Matches",
	func(source, labels string, want bool) {
		selector, err := label.Parse(source)
		Expect(err).NotTo(HaveOccurred())
		Expect(selector.Matches(parseSet(labels))).To(Equal(want))
	},
	Entry("empty matches everything", "", "", true),
	Entry("equality", "tier=old", "tier=old", true),
	Entry("equality without the key", "tier=old", "", false),
	Entry("inequality", "tier!=old", "tier=new", true),
	Entry("inequality without the key", "tier!=old", "", true),
	Entry("membership in a set", "region in (mtl, qc)", "region=qc", true),
	Entry("membership in a set without the value", "region in (mtl,qc)", "region=sag", false),
	Entry("exclusion from a set", "region notin (mtl,qc)", "region=sag", true),
	Entry("existence", "archive", "archive=yes", true),
	Entry("absence", "!archive", "archive=yes", false),
	Entry("conjunction", "tier=old,!archive", "tier=old", true),
	Entry("conjunction with one failing term", "tier=old,!archive", "archive=yes,tier=old", false),
)

// Guards against a selector with a typing error that is accepted with a
// different meaning.
var _ = DescribeTable("Parse rejects",
	func(source string) {
		Expect(label.Parse(source)).Error().To(MatchError(label.ErrSyntax))
	},
	Entry("an empty term", "a=b,,c=d"),
	Entry("an empty value", "a="),
	Entry("an unclosed set", "a in (b,c"),
	Entry("an unknown operator", "a near (b)"),
	Entry("a key that does not start with a letter or digit", "-a=b"),
	Entry("an overlong selector", strings.Repeat("a", label.MaxSelectorBytes+1)),
)

func parseSet(labels string) label.Set {
	set := label.NewSet()
	for _, pair := range strings.Split(labels, ",") {
		if key, value, ok := strings.Cut(pair, "="); ok {
			set = set.With(key, value)
		}
	}
	return set
}
