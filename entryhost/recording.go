package entryhost

import (
	"context"

	"wisteriapond/core"
	"wisteriapond/eventlog"
)

// openRecording creates the event log if the settings name one.
func (h *Host) openRecording() error {
	if h.settings.Record.File == "" {
		return nil
	}
	recorder, err := eventlog.Create(h.settings.Record.File, int64(h.settings.Record.MaxSize), h.log, h.metrics.Add)
	if err != nil {
		return err
	}
	h.recorder = recorder
	h.loop.SetRecorder(func(at core.Instant, event core.Event, _ []core.Effect) { recorder.Record(at, event) })
	return nil
}

// runRecording starts writing events to the event log until ctx is done.
func (h *Host) runRecording(ctx context.Context) {
	if h.recorder != nil {
		h.group.Go(func() error { return h.recorder.Run(ctx) })
	}
}
