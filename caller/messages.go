package caller

import "wisteriapond/outcome"

// refusalMessages explains the reasons of refusals to people who read the
// response. Programs use the reason.
var refusalMessages = map[outcome.Refusal]string{
	outcome.RefusedNoService:           "no service serves this request; it did not run",
	outcome.RefusedNoHost:              "no backend server may serve this request now; it did not run",
	outcome.RefusedQueueFull:           "too many requests wait for this service; the request did not run",
	outcome.RefusedDeadline:            "the request could not have finished in time; it did not run",
	outcome.RefusedDepth:               "the call is nested too deep; the request did not run",
	outcome.RefusedNotReady:            "this host serves no requests now; the request did not run",
	outcome.RefusedOverloaded:          "this host is overloaded; the request did not run",
	outcome.RefusedUpstreamsOverloaded: "the backend servers are too busy to answer in time; the request did not run",
	outcome.RefusedUnavailable:         "no backend server took the request; it did not run",
	outcome.RefusedCallerGone:          "the caller hung up before the request ran",
	outcome.RefusedMalformed:           "the request is malformed; it did not run",
	outcome.RefusedTooLarge:            "the head of the request is too large; the request did not run",
}

// failureMessages explains the reasons of unknown outcomes.
var failureMessages = map[outcome.Failure]string{
	outcome.FailedReset:        "the backend server closed the connection before a whole answer came; it may have run the request",
	outcome.FailedTimeout:      "no whole answer came in time; the backend server may have run the request",
	outcome.FailedTruncated:    "the answer of the backend server broke off; it may have run the request",
	outcome.FailedMalformed:    "the answer of the backend server breaks the protocol; it may have run the request",
	outcome.FailedCanceled:     "the request was cancelled; the backend server may have run it",
	outcome.FailedRequestBody:  "the request body broke off; the backend server may have run the request",
	outcome.FailedBackendError: "the backend server answered with an error, and no later attempt did better; it may have run the request",
	outcome.FailedInternal:     "a fault of this host ended the request; a backend server may have run it",
}
