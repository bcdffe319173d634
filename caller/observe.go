package caller

import (
	"wisteriapond/core"
	"wisteriapond/metrics"
)

// observe reports the latency of a request whose answer, or the head of whose
// long answer, is about to be written.
func (x *call) observe() {
	if x.server.ObserveLatency == nil {
		return
	}
	x.server.ObserveLatency(x.service(), x.outcome(), x.server.loop.Now().Sub(x.begun))
}

// service returns the service of the request, empty for a request that was
// refused before it had one.
func (x *call) service() string {
	switch last := x.last.(type) {
	case core.Refuse:
		return last.Service
	case core.Fail:
		return last.Service
	}
	return x.started
}

func (x *call) outcome() string {
	switch x.last.(type) {
	case core.PassAnswer:
		return metrics.OutcomeAnswered
	case core.Fail:
		return metrics.OutcomeUnknown
	}
	return metrics.OutcomeNotRun
}
