package entryhost

import "wisteriapond/core"

// maxLater bounds the events that wait to be reported.
const maxLater = 1024

// reportLater reports an event from the control goroutine, which must not wait
// for its own mailbox. The event is lost when too many wait; the reducer
// repeats what is not answered.
func (h *Host) reportLater(event core.Event) {
	select {
	case h.later <- event:
	default:
	}
}

func (h *Host) reportEvents() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case event := <-h.later:
			h.loop.Send(event)
		}
	}
}
