package entryhost

import "wisteriapond/core"

// maxDeferredEvents bounds the number of queued deferred events.
const maxDeferredEvents = 1024

// sendDeferred queues an event that the control goroutine itself sends, because
// that goroutine must not block on its own mailbox. The event is dropped if too
// many are queued; the reducer repeats requests without a result.
func (h *Host) sendDeferred(event core.Event) {
	select {
	case h.deferredEvents <- event:
	default:
	}
}

// forwardDeferred sends deferred events to the loop until the host ends.
func (h *Host) forwardDeferred() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case event := <-h.deferredEvents:
			h.loop.Send(event)
		}
	}
}
