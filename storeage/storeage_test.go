package storeage_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/storeage"
)

func at(era, revision uint64) storeage.Age { return storeage.Age{Era: era, Revision: revision} }

var _ = Describe("Age", func() {
	// Guards against revisions of two eras that are compared with each other.
	It("is ordered by era, then by revision", func() {
		Expect(at(1, 120).Before(at(2, 90))).To(BeTrue())
		Expect(at(2, 90).Before(at(1, 120))).To(BeFalse())
		Expect(at(2, 90).Before(at(2, 91))).To(BeTrue())
		Expect(at(2, 90).Compare(at(2, 90))).To(BeZero())
		Expect(storeage.Age{}.Before(at(0, 1))).To(BeTrue())
	})
})

// Guards against an older write that replaces a newer one.
var _ = Describe("Entries", func() {
	leaving := storeage.Write{At: at(1, 120), Instance: 7, Sequence: 5, Leaving: true}
	removed := storeage.Write{At: at(1, 121), Removed: true}

	DescribeTable("judge a write after the known ones", func(known []storeage.Write, write storeage.Write, want storeage.Verdict) {
		var entries storeage.Entries
		entries.Enter(at(1, 100))
		for _, k := range known {
			Expect(entries.Record("a", k)).To(Equal(storeage.Apply))
		}
		if write.At.Era > 1 {
			entries.Enter(at(write.At.Era, 92))
		}
		last := entries.Last("a")
		Expect(entries.Record("a", write)).To(Equal(want))
		Expect(entries.Last("a").Before(last)).To(BeFalse())
	},
		Entry("the first", nil, leaving, storeage.Apply),
		Entry("an earlier one", []storeage.Write{leaving}, storeage.Write{At: at(1, 119), Instance: 7, Sequence: 4}, storeage.Outdated),
		Entry("a later one", []storeage.Write{leaving}, storeage.Write{At: at(1, 121), Instance: 7, Sequence: 6}, storeage.Apply),
		Entry("the same again", []storeage.Write{leaving}, leaving, storeage.ApplyLeaving),
		Entry("one of an unknown revision", []storeage.Write{leaving}, storeage.Write{At: at(1, 0), Instance: 7}, storeage.Apply),
		Entry("one of an earlier era", []storeage.Write{{At: at(2, 5)}}, storeage.Write{At: at(1, 900), Instance: 9}, storeage.Outdated),
		Entry("one that is as late as its removal", []storeage.Write{leaving, removed}, storeage.Write{At: at(1, 121), Instance: 7, Sequence: 6}, storeage.Outdated),
		Entry("one from a copy, before it left", []storeage.Write{leaving}, storeage.Write{At: at(2, 80), Instance: 7, Sequence: 4}, storeage.ApplyLeaving),
		Entry("one from a copy, before its removal", []storeage.Write{leaving, removed}, storeage.Write{At: at(2, 80), Instance: 7, Sequence: 4}, storeage.Withheld),
		Entry("one from a copy that this host had missed", []storeage.Write{leaving, removed}, storeage.Write{At: at(2, 80), Instance: 7, Sequence: 6}, storeage.Apply),
		Entry("one of an earlier instance from a copy", []storeage.Write{leaving}, storeage.Write{At: at(2, 80), Instance: 6, Sequence: 50}, storeage.Outdated),
		Entry("one of a later instance", []storeage.Write{leaving, removed}, storeage.Write{At: at(2, 80), Instance: 8, Sequence: 1}, storeage.Apply),
		Entry("one that was written in the new era, by a writer that lost its count", []storeage.Write{leaving, removed}, storeage.Write{At: at(2, 93), Instance: 7, Sequence: 1}, storeage.Apply),
		Entry("a removal in the new era", []storeage.Write{leaving}, storeage.Write{At: at(2, 80), Removed: true}, storeage.Apply),
	)

	// Guards against a withheld entry that stays out of use for good.
	It("forget a removal that was released", func() {
		var entries storeage.Entries
		entries.Record("a", leaving)
		entries.Record("a", removed)
		entries.Release("a")
		Expect(entries.Record("a", storeage.Write{At: at(2, 80), Instance: 7, Sequence: 4})).To(Equal(storeage.Apply))
	})

	// Guards against memory that grows with the entries that another writer adds and
	// removes, and against the loss of the latest removals.
	It("bound the removals that they remember", func() {
		var entries storeage.Entries
		const removals = 3000
		for i := range uint64(removals) {
			id := fmt.Sprint(i)
			entries.Record(id, storeage.Write{At: at(0, 2*i+1)})
			entries.Record(id, storeage.Write{At: at(0, 2*i+2), Removed: true})
		}
		remembered := 0
		for i := range removals {
			known := entries.Last(fmt.Sprint(i)) != (storeage.Age{})
			if known {
				remembered++
			}
			if i >= removals-512 {
				Expect(known).To(BeTrue(), "removal %d is forgotten", i)
			}
		}
		Expect(remembered).To(BeNumerically("<=", 1024))
		Expect(entries.Last(fmt.Sprint(removals - 1))).To(Equal(at(0, 2*removals)))
	})
})
