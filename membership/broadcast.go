package membership

import (
	"math/bits"
	"slices"
)

const (
	// maxRumors bounds the statements that wait to be passed on. The oldest
	// are dropped: every host has been told of them several times by then.
	maxRumors = 512
	// spreadFactor times the logarithm of the number of members is the number
	// of times that a host repeats a statement. Three reach all members with
	// high probability when every host repeats them.
	spreadFactor = 3
)

// BroadcastQueue is a bounded queue of statements to be attached to messages. Each
// statement has a key; a newer one with the same key replaces it.
type BroadcastQueue[T any] struct {
	items []rumor[T]
}

type rumor[T any] struct {
	key  string
	item T
	sent int
}

// Add queues a statement.
func (r *BroadcastQueue[T]) Add(key string, item T) {
	r.items = slices.DeleteFunc(r.items, func(old rumor[T]) bool { return old.key == key })
	if len(r.items) >= maxRumors {
		r.items = slices.Delete(r.items, 0, 1)
	}
	r.items = append(r.items, rumor[T]{key: key, item: item})
}

// Len returns the number of statements that wait.
func (r *BroadcastQueue[T]) Len() int { return len(r.items) }

// Next returns up to limit statements, the least often sent first, and drops
// those that have been sent often enough for a group of the given size.
func (r *BroadcastQueue[T]) Next(limit, members int) []T {
	if len(r.items) == 0 {
		return nil
	}
	slices.SortStableFunc(r.items, func(a, b rumor[T]) int { return a.sent - b.sent })
	taken := make([]T, 0, min(limit, len(r.items)))
	for i := range min(limit, len(r.items)) {
		r.items[i].sent++
		taken = append(taken, r.items[i].item)
	}
	enough := spreadFactor * bits.Len(uint(members))
	r.items = slices.DeleteFunc(r.items, func(old rumor[T]) bool { return old.sent >= enough })
	return taken
}
