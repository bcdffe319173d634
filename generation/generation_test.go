package generation_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/config"
	"wisteriapond/generation"
	"wisteriapond/membership"
)

func parts(n int) []generation.Part {
	var list []generation.Part
	for i := range n {
		list = append(list, generation.Part{Service: fmt.Sprint("s", i), Hash: config.Hash(fmt.Sprint("h", i))})
	}
	return list
}

func all(generation.Part) bool { return true }

var _ = Describe("Fetcher", func() {
	// Guards against every host of a deployment loading from the configuration
	// service what the hosts could send each other.
	It("requests parts from the peers before the configuration service", func() {
		f := generation.NewFetcher(parts(1))
		f.AddSource("a")
		f.AddSource("b")
		var sources []string
		for range 3 {
			requests := f.Requests(0)
			Expect(requests).To(HaveLen(1))
			sources = append(sources, requests[0].Peer)
			f.RecordFailure(0, all)
		}
		Expect(sources[:2]).To(ConsistOf("a", "b"))
		Expect(sources[2]).To(BeEmpty())
		Expect(f.Requests(0)).To(BeEmpty(), "backs off after the last source")
		Expect(f.Requests(generation.Backoff(0))).To(HaveLen(1))
	})

	// Guards against requesting thousands of parts at once at start-up.
	It("bounds the number of parts in flight", func() {
		f := generation.NewFetcher(parts(100))
		f.AddSource("a")
		count := 0
		for _, request := range f.Requests(0) {
			Expect(len(request.Parts)).To(BeNumerically("<=", generation.MaxPartsPerPeer))
			count += len(request.Parts)
		}
		Expect(count).To(Equal(generation.MaxPartsInFlight))
		Expect(f.Requests(0)).To(BeEmpty())
	})

	// Guards against a version that stalls when a response is lost.
	It("requests a part again after a time-out", func() {
		f := generation.NewFetcher(parts(1))
		f.AddSource("a")
		Expect(f.Requests(0)).To(HaveLen(1))
		Expect(f.Requests(10 * time.Second)).To(HaveLen(1))
		Expect(f.MarkReceived("h0")).To(BeTrue())
		Expect(f.MissingCount()).To(BeZero())
	})

	// Guards against requests to a failed configuration service in a tight
	// loop.
	It("backs off longer after each round", func() {
		Expect(generation.Backoff(0)).To(Equal(500 * time.Millisecond))
		Expect(generation.Backoff(1)).To(Equal(time.Second))
		Expect(generation.Backoff(100)).To(Equal(10 * time.Second))
	})
})

var _ = Describe("IsWatcher", func() {
	// Guards against a deployment without a watcher, and against so many
	// watchers that they use up the call limit of the configuration service.
	DescribeTable("selects about the square root of the number of hosts", func(n, want int) {
		watchers := 0
		for i := range n {
			var others []membership.Member
			for j := range n {
				if j != i {
					others = append(others, membership.Member{Name: fmt.Sprint("host-", j)})
				}
			}
			if generation.IsWatcher(fmt.Sprint("host-", i), others) {
				watchers++
			}
		}
		Expect(watchers).To(Equal(want))
	},
		Entry("one host", 1, 1),
		Entry("two hosts", 2, 2),
		Entry("three hosts", 3, 2),
		Entry("17 hosts", 17, 5),
		Entry("256 hosts", 256, 16),
	)
})

var _ = Describe("Patch", func() {
	manifest := func(generation int, hashes []int) []byte {
		var b strings.Builder
		fmt.Fprintf(&b, `{"generation":%d,"services":{`, generation)
		for i, hash := range hashes {
			fmt.Fprintf(&b, `"service-%d":"%064d",`, i, hash)
		}
		b.WriteString(`}}`)
		return []byte(b.String())
	}

	// Guards against sending a complete manifest of 1,500 services for each of
	// 10,000 changes a day.
	It("is small for a change of one service", func() {
		hashes := make([]int, 1500)
		before := manifest(1, hashes)
		hashes[700] = 1
		after := manifest(2, hashes)
		patch := generation.Diff("x", before, after)
		size := 0
		for _, edit := range patch.Edits {
			size += len(edit.Insert)
		}
		Expect(size).To(BeNumerically("<", 256))
		Expect(generation.Apply(before, patch, len(after))).To(Equal(after))
	})

	// Guards against a patch that produces a document other than the intended
	// one.
	It("turns any document into any other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			entries := rapid.SliceOf(rapid.SampledFrom([]string{"a,", "b,", "c,", "dd,", "e"}))
			before := []byte(strings.Join(entries.Draw(t, "before"), ""))
			after := []byte(strings.Join(entries.Draw(t, "after"), ""))
			patch := generation.Diff("x", before, after)
			if patch == nil {
				return
			}
			got, err := generation.Apply(before, patch, len(after))
			if err != nil || string(got) != string(after) {
				t.Fatalf("Apply returned %q, %v", got, err)
			}
		})
	})

	// Guards against a crash caused by a malformed patch from a peer.
	DescribeTable("rejects", func(edit generation.Edit) {
		Expect(generation.Apply([]byte("abc"), &generation.Patch{Edits: []generation.Edit{edit}}, 4)).Error().To(MatchError(generation.ErrInvalidPatch))
	},
		Entry("a negative offset", generation.Edit{Offset: -1, Length: 1}),
		Entry("a negative length", generation.Edit{Offset: 1, Length: -1}),
		Entry("an offset beyond the end", generation.Edit{Offset: 4}),
		Entry("a length beyond the end", generation.Edit{Offset: 2, Length: 2}),
		Entry("a length that overflows", generation.Edit{Offset: 1, Length: 1<<63 - 1}),
		Entry("a result beyond the limit", generation.Edit{Length: 3, Insert: []byte("de")}),
	)
})
