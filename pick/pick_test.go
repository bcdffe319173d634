package pick_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/pick"
)

func draw() pick.Draw { return rand.New(rand.NewPCG(1, 2)).IntN }

// shares returns how many times a policy chooses each candidate in 10,000
// decisions.
func shares(policy pick.Policy, candidates ...pick.Candidate) []int {
	counts := make([]int, len(candidates))
	d := draw()
	for range 10_000 {
		free := append([]pick.Candidate(nil), candidates...)
		counts[free[policy(free, d)].Index]++
	}
	return counts
}

var _ = Describe("the policies", func() {
	// Guards against a policy that ignores one of its criteria.
	DescribeTable("prefer the better candidate", func(policy pick.Policy, worse, better pick.Candidate) {
		worse.Index, better.Index = 0, 1
		Expect(shares(policy, worse, better)).To(Equal([]int{0, 10_000}))
	},
		Entry("two choices: fewer requests of this host", pick.TwoChoices, pick.Candidate{Running: 2}, pick.Candidate{Running: 1}),
		Entry("reported load: lower report", pick.ReportedLoad, pick.Candidate{Load: 3}, pick.Candidate{Load: 2}),
		Entry("reported load: requests of this host without a recent report", pick.ReportedLoad, pick.Candidate{Running: 2, Load: -1}, pick.Candidate{Load: 1}),
		Entry("prefer leased: a lease", pick.PreferLeased, pick.Candidate{Limit: 1, Latency: 1}, pick.Candidate{Limit: 1, Latency: time.Second, Leased: true}),
		Entry("prefer leased: lower latency", pick.PreferLeased, pick.Candidate{Limit: 1, Latency: 2}, pick.Candidate{Limit: 1, Latency: 1}),
		Entry("prefer leased: larger free fraction of the limit", pick.PreferLeased, pick.Candidate{Limit: 1, Latency: 2}, pick.Candidate{Limit: 3, Latency: 2}),
	)

	// Guards against a policy that sends all requests to one of several equal
	// upstreams.
	DescribeTable("distribute requests over equal candidates", func(policy pick.Policy) {
		for _, n := range shares(policy, pick.Candidate{Index: 0, Limit: 1}, pick.Candidate{Index: 1, Limit: 1}, pick.Candidate{Index: 2, Limit: 1}) {
			Expect(n).To(BeNumerically("~", 3333, 333))
		}
	},
		Entry("random", pick.Random), Entry("two choices", pick.TwoChoices),
		Entry("reported load", pick.ReportedLoad), Entry("prefer leased", pick.PreferLeased),
	)
})

// Guards against requests that leave the failure domain or the region although
// there is a nearer candidate.
var _ = Describe("a candidate set", func() {
	It("offers the nearest candidates, and another region only if allowed", func() {
		var c pick.CandidateSet
		for _, l := range []pick.Locality{pick.OtherRegion, pick.SameRegion, pick.SameDomain} {
			_, ok := c.Pick(pick.Random, false, draw())
			Expect(ok).To(Equal(l < pick.SameRegion))
			c.Add(l, pick.Candidate{Index: int(l)})
			index, _ := c.Pick(pick.Random, true, draw())
			Expect(index).To(Equal(int(l)))
		}
	})
})
