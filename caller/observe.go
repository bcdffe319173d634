package caller

import (
	"wisteriapond/core"
	"wisteriapond/metrics"
)

// observe reports the latency of a request whose answer, or the head of whose
// long answer, is about to be written. A request has no ticket when it was
// refused before it reached the reducer.
func (x *call) observe() {
	s := x.server
	if s.Observe == nil {
		return
	}
	service, outcome := "", metrics.OutcomeNotRun
	if x.ticket != nil {
		service, outcome = x.ticket.Service, outcomeOf(x.ticket.Last)
	}
	s.Observe(service, outcome, s.loop.Now().Sub(x.begin))
}

func outcomeOf(last core.Effect) string {
	switch last.(type) {
	case core.PassAnswer:
		return metrics.OutcomeAnswered
	case core.Fail:
		return metrics.OutcomeUnknown
	}
	return metrics.OutcomeNotRun
}
