package entryhost

import (
	"time"

	"github.com/apex/log"

	"wisteriapond/core"
)

// Handle executes the effects that do not belong to a single request. It runs on
// the control goroutine; operations that may block run on other goroutines.
func (h *Host) Handle(effect core.Effect) {
	switch e := effect.(type) {
	case core.Count:
		h.metrics.Add(e.Counter, e.Label, e.Add)
	case core.Log:
		h.writeLog(e)
	case core.CloseCallers:
		h.caller.CloseConnections(e.Closures)
	case core.CloseAllIdle:
		h.pool.CloseAllIdle()
	case core.CloseIdle:
		h.pool.CloseIdle(e.Address)
	case core.SendPeer:
		h.sendPeer(e)
	case core.ParseManifest:
		h.parseManifest(e)
	case core.ParsePart:
		h.parsePart(e)
	case core.WatchManifest:
		h.watchManifest()
	case core.StopWatching:
		h.stopWatching()
	case core.ReadManifest:
		h.readManifest()
	case core.ReadPart:
		h.readPart(e)
	case core.ReadHostList:
		h.readHostList()
	case core.ListStore:
		h.listStore(e)
	case core.WatchStore:
		h.watchStore(e)
	case core.AskNews:
		h.pollNeighbour(e)
	case core.AnswerNews:
		h.pendingPolls.respond(e.ID, e.Answer)
	case core.StartProbe:
		h.startProbe(e)
	case core.StopAccepting:
		h.group.Go(func() error { h.drainCallers(); return nil })
	case core.ReportStatus:
		h.statuses.respond(e.ID, e.Status)
	case core.ReportExplanation:
		h.explanations.respond(e.ID, e.Explanation)
	}
}

// ObserveStep records the duration of one step.
func (h *Host) ObserveStep(took time.Duration) { h.metrics.ObserveStep(took) }

func (h *Host) writeLog(e core.Log) {
	fields := make(log.Fields, len(e.Fields))
	for _, field := range e.Fields {
		fields[field.Key] = field.Value
	}
	entry := h.log.WithFields(fields)
	switch e.Level {
	case core.LogError:
		entry.Error(e.Message)
	case core.LogWarn:
		entry.Warn(e.Message)
	default:
		entry.Info(e.Message)
	}
}
