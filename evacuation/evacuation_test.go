package evacuation_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/evacuation"
)

func emptied(revision uint64) evacuation.Mark {
	return evacuation.Mark{Domain: "a", Emptied: true, Revision: revision}
}

func back(revision uint64) evacuation.Mark {
	return evacuation.Mark{Domain: "a", Revision: revision}
}

// drawMark returns an arbitrary mark of one of three domains.
func drawMark(t *rapid.T) evacuation.Mark {
	return evacuation.Mark{
		Domain:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
		Emptied:  rapid.Bool().Draw(t, "emptied"),
		Era:      rapid.Uint64Range(0, 1).Draw(t, "era"),
		Revision: rapid.Uint64Range(1, 5).Draw(t, "revision"),
	}
}

var _ = Describe("Table", func() {
	// Guards against a late or repeated mark that brings a domain back, or that keeps
	// one out that is back.
	It("follows the newest mark of a domain", func() {
		var t evacuation.Table
		Expect(t.Emptied("a")).To(BeFalse())
		Expect(t.Learn(emptied(5))).To(BeTrue())
		Expect(t.Learn(back(4))).To(BeFalse())
		Expect(t.Emptied("a")).To(BeTrue())
		Expect(t.Learn(back(6))).To(BeTrue())
		Expect(t.Learn(emptied(5))).To(BeFalse())
		Expect(t.Emptied("a")).To(BeFalse())
		Expect(t.Learn(emptied(7))).To(BeTrue())
		Expect(t.Domains()).To(Equal([]string{"a"}))
	})

	// Guards against revisions of an earlier era that hold over those of a later one,
	// in which the store counts from an earlier revision.
	It("orders by era before revision", func() {
		var t evacuation.Table
		t.Learn(emptied(100))
		Expect(t.Learn(evacuation.Mark{Domain: "a", Era: 1, Revision: 3})).To(BeTrue())
		Expect(t.Learn(emptied(101))).To(BeFalse())
	})

	// Guards against a domain that stays emptied for good after the removal of its
	// mark was missed, and against an older listing that brings one back.
	DescribeTable("takes back a domain that a complete listing lacks",
		func(revision uint64, want bool) {
			var t evacuation.Table
			t.Learn(emptied(5))
			changed := t.Listed(0, revision, nil, false)
			Expect(len(changed) > 0).To(Equal(!want))
			Expect(t.Emptied("a")).To(Equal(want))
		},
		Entry("if the mark is older", uint64(6), false),
		Entry("but not if the mark is as old as the listing", uint64(5), true),
		Entry("but not if the mark is newer", uint64(4), true),
	)

	// Guards against a listing that takes back a domain whose mark it holds.
	It("keeps the domains that a listing holds", func() {
		var t evacuation.Table
		t.Learn(emptied(5))
		Expect(t.Listed(0, 9, []evacuation.Mark{emptied(5), {Domain: "b", Emptied: true, Revision: 8}}, false)).To(Equal([]string{"b"}), false)
		Expect(t.Domains()).To(Equal([]string{"a", "b"}))
	})

	// Guards against hosts that decide differently, depending on the order in which
	// marks reach them.
	It("does not depend on the order of marks", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			marks := rapid.SliceOfN(rapid.Custom(drawMark), 1, 12).Draw(t, "marks")
			var one, other evacuation.Table
			for _, m := range marks {
				one.Learn(m)
			}
			for _, m := range rapid.Permutation(marks).Draw(t, "permutation") {
				other.Learn(m)
				other.Learn(m)
			}
			if got, want := fmt.Sprint(other.Marks()), fmt.Sprint(one.Marks()); got != want {
				t.Fatalf("got %s, want %s", got, want)
			}
		})
	})

	// Guards against memory that grows with what other hosts send, and against an
	// emptied domain that is dropped for domains that are back.
	It("is bounded and prefers emptied domains", func() {
		var t evacuation.Table
		for i := range evacuation.MaxDomains {
			t.Learn(evacuation.Mark{Domain: fmt.Sprint("d", i), Revision: uint64(i + 1)})
		}
		Expect(t.Learn(emptied(3))).To(BeTrue())
		Expect(t.Known("d0")).To(BeFalse())
		Expect(t.Marks()).To(HaveLen(evacuation.MaxDomains))
		Expect(t.Learn(evacuation.Mark{Domain: "x", Revision: 9})).To(BeFalse())
		Expect(t.Marks()).To(HaveLen(evacuation.MaxDomains))
		Expect(t.Learn(evacuation.Mark{Domain: strings.Repeat("x", evacuation.MaxNameBytes+1), Emptied: true})).To(BeFalse())
	})
})
