package caller

import (
	"wisteriapond/core"
	"wisteriapond/metrics"
)

// observeLatency reports the latency of a request when its response, or the
// header of a streamed response, is about to be written.
func (x *call) observeLatency() {
	if x.server.ObserveLatency == nil {
		return
	}
	x.server.ObserveLatency(x.service(), x.outcome(), x.server.loop.Now().Sub(x.startedAt))
}

// service returns the service of the request, empty for a request that was
// refused before a service was determined.
func (x *call) service() string {
	switch command := x.lastCommand.(type) {
	case core.Refuse:
		return command.Service
	case core.Fail:
		return command.Service
	}
	return x.attemptedService
}

func (x *call) outcome() string {
	switch x.lastCommand.(type) {
	case core.PassAnswer:
		return metrics.OutcomeResponded
	case core.Fail:
		return metrics.OutcomeUnknown
	}
	return metrics.OutcomeNotRun
}
