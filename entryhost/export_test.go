package entryhost

import (
	"wisteriapond/core"
	"wisteriapond/runtime"
)

// OnStep calls observe for each step, in addition to the recorder of the host.
// It must be called before Run.
func (h *Host) OnStep(observe runtime.Recorder) {
	h.loop.SetRecorder(func(at core.Instant, event core.Event, effects []core.Effect) {
		observe(at, event, effects)
		if h.recorder != nil {
			h.recorder.Record(at, event)
		}
	})
}
