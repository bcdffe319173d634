package caller

import (
	"wisteriapond/core"
	"wisteriapond/metrics"
	"wisteriapond/runtime"
)

// observe reports the latency of a request whose answer, or the head of whose
// long answer, is about to be written. The ticket is nil for a request that
// was refused before it reached the reducer.
func (s *Server) observe(ticket *runtime.Ticket, begin core.Instant) {
	if s.Observe == nil {
		return
	}
	service, outcome := "", metrics.OutcomeNotRun
	if ticket != nil {
		service, outcome = ticket.Service, outcomeOf(ticket.Last)
	}
	s.Observe(service, outcome, s.loop.Now().Sub(begin))
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
