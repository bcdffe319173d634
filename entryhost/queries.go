package entryhost

import (
	"context"
	"sync"

	"wisteriapond/config"
	"wisteriapond/core"
)

// pendingQueries holds the queries to which the control goroutine has not
// responded.
type pendingQueries[T any] struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan T
}

// query sends a query and waits for the response. send must not block.
func (q *pendingQueries[T]) query(ctx context.Context, send func(id uint64)) (T, error) {
	id, reply := q.register()
	send(id)
	select {
	case response := <-reply:
		return response, nil
	case <-ctx.Done():
		q.remove(id)
		var none T
		return none, ctx.Err()
	}
}

func (q *pendingQueries[T]) register() (uint64, <-chan T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[uint64]chan T)
	}
	q.lastID++
	reply := make(chan T, 1)
	q.waiting[q.lastID] = reply
	return q.lastID, reply
}

func (q *pendingQueries[T]) remove(id uint64) chan T {
	q.mu.Lock()
	defer q.mu.Unlock()
	reply := q.waiting[id]
	delete(q.waiting, id)
	return reply
}

// respond completes a query. It never blocks, because the channel has a buffer
// for the only response.
func (q *pendingQueries[T]) respond(id uint64, response T) {
	if reply := q.remove(id); reply != nil {
		reply <- response
	}
}

// Status returns the status of the host as reported by the control goroutine.
func (h *Host) Status(ctx context.Context) (core.Status, error) {
	return h.statuses.query(ctx, func(id uint64) {
		h.loop.Send(core.StatusRequested{ID: id})
	})
}

// Explain returns the upstreams that a request may be sent to, without sending
// it.
func (h *Host) Explain(ctx context.Context, request config.Request) (config.Explanation, error) {
	return h.explanations.query(ctx, func(id uint64) {
		h.loop.Send(core.ExplainRequested{ID: id, Request: request})
	})
}
