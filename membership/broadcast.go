package membership

import (
	"math/bits"
	"slices"
)

const (
	// maxBroadcasts bounds the number of queued items. When the queue is full,
	// Add drops its first item: the oldest one, unless Next has reordered the
	// queue by the number of sends. The oldest has normally reached every host
	// several times by then.
	maxBroadcasts = 512
	// retransmitFactor times the binary logarithm of the number of members is
	// the number of times that a host sends an item. A factor of 3 reaches all
	// members with high probability when every host repeats the item.
	retransmitFactor = 3
)

// BroadcastQueue is a bounded queue of items to be attached to messages. Each
// item has a key; a newer item with the same key replaces it.
type BroadcastQueue[T any] struct {
	items []broadcast[T]
}

type broadcast[T any] struct {
	key  string
	item T
	sent int
}

// Add queues an item.
func (q *BroadcastQueue[T]) Add(key string, item T) {
	q.items = slices.DeleteFunc(q.items, func(old broadcast[T]) bool { return old.key == key })
	if len(q.items) >= maxBroadcasts {
		q.items = slices.Delete(q.items, 0, 1)
	}
	q.items = append(q.items, broadcast[T]{key: key, item: item})
}

// Len returns the number of queued items.
func (q *BroadcastQueue[T]) Len() int { return len(q.items) }

// Next returns up to limit items, the least often sent first, and removes
// those that have been sent often enough for the given number of members.
func (q *BroadcastQueue[T]) Next(limit, members int) []T {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b broadcast[T]) int { return a.sent - b.sent })
	batch := make([]T, 0, min(limit, len(q.items)))
	for i := range min(limit, len(q.items)) {
		q.items[i].sent++
		batch = append(batch, q.items[i].item)
	}
	maxSends := retransmitFactor * bits.Len(uint(members))
	q.items = slices.DeleteFunc(q.items, func(old broadcast[T]) bool { return old.sent >= maxSends })
	return batch
}
