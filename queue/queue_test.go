package queue_test

import (
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/queue"
)

// Guards against items that are lost, duplicated or misordered by a sequence of
// additions and removals. The reference is a sorted slice.
var _ = Describe("the queue", func() {
	It("behaves like a sorted slice", func() {
		random := rand.New(rand.NewPCG(1, 2))
		var q queue.Queue[int]
		var model []*queue.Item[int]
		for i := range 20_000 {
			if len(model) == 0 || random.IntN(2) == 0 {
				item := &queue.Item[int]{Value: i, At: int64(random.IntN(50))}
				q.Add(item)
				model = append(model, item)
				slices.SortStableFunc(model, func(a, b *queue.Item[int]) int { return int(a.At - b.At) })
			} else {
				at := random.IntN(len(model))
				q.Remove(model[at])
				Expect(model[at].Queued()).To(BeFalse())
				model = slices.Delete(model, at, at+1)
			}
			Expect(q.Len()).To(Equal(len(model)))
			if len(model) > 0 {
				Expect(q.First()).To(BeIdenticalTo(model[0]))
			}
			at := int64(random.IntN(50))
			ahead := 0
			for _, item := range model {
				if item.At <= at {
					ahead++
				}
			}
			Expect(q.CountUpTo(at, 10)).To(Equal(min(ahead, 10)))
		}
	})

	// Guards against a request that loses its position because it was set aside.
	It("keeps the position of an item that is requeued", func() {
		var q queue.Queue[int]
		older, newer := &queue.Item[int]{}, &queue.Item[int]{}
		q.Add(older)
		q.Add(newer)
		q.Remove(older)
		q.Remove(older)
		q.Requeue(older)
		Expect(q.First()).To(BeIdenticalTo(older))
	})
})
