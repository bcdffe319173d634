package entryhost

import (
	"wisteriapond/core"
	"wisteriapond/outcome"
)

const (
	probeWorkers = 8
	// maxPendingProbes is small, because queued probes expire.
	maxPendingProbes = 64
)

// startProbe probes a backend server. If too many probes are queued, the probe
// ends as expired without being sent.
func (h *Host) startProbe(e core.StartProbe) {
	if e.Reuse {
		// The reducer runs at most one such probe for each upstream at a time.
		h.group.Go(func() error { h.probe(e); return nil })
		return
	}
	accepted := h.probePool.submit(func() { h.probe(e) })
	if accepted {
		return
	}
	facts := outcome.Facts{Cause: outcome.CauseExpired, Load: -1}
	h.sendDeferred(core.ProbeFinished{Service: e.Service, Upstream: e.Upstream, Facts: facts})
}

func (h *Host) probe(e core.StartProbe) {
	facts, took := h.pool.Probe(h.ctx, h.loop, e)
	h.loop.Send(core.ProbeFinished{Service: e.Service, Upstream: e.Upstream, Facts: facts, Took: took})
}
