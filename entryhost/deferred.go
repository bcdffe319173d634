package entryhost

import "wisteriapond/core"

// maxDeferredEvents bounds the events that wait to be reported.
const maxDeferredEvents = 1024

// sendDeferred reports an event from the control goroutine, which must not wait
// for its own mailbox. The event is lost when too many wait; the reducer
// repeats what is not answered.
func (h *Host) sendDeferred(event core.Event) {
	select {
	case h.deferredEvents <- event:
	default:
	}
}

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
