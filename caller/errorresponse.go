package caller

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/backend"
	"wisteriapond/core"
	"wisteriapond/outcome"
)

// The values of the outcome header.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// answerBody is the body of the system's own answers.
type answerBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Service string `json:"service,omitempty"`
}

// refusalStatus gives the statuses that differ from 503.
var refusalStatus = map[outcome.Refusal]int{
	outcome.RefusedNoService: fasthttp.StatusNotFound,
	outcome.RefusedMalformed: fasthttp.StatusBadRequest,
	outcome.RefusedTooLarge:  fasthttp.StatusRequestHeaderFieldsTooLarge,
}

func writeRefusal(ctx *fasthttp.RequestCtx, d *backend.Dialect, refusal core.Refuse) {
	status, ok := refusalStatus[refusal.Reason]
	if !ok {
		status = fasthttp.StatusServiceUnavailable
	}
	if refusal.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", formatWait(refusal.RetryAfter, d.FractionalRetryAfter))
	}
	if refusal.GaveUp {
		ctx.Response.Header.Set(backend.HeaderGaveUp, "1")
	}
	writeAnswer(ctx, status, answerBody{
		Outcome: outcomeNotRun,
		Reason:  string(refusal.Reason),
		Message: refusalMessages[refusal.Reason],
		Service: refusal.Service,
	})
}

// formatWait writes a wait in seconds, rounded up to whole ones unless the
// caller understands fractions.
func formatWait(wait time.Duration, fractions bool) string {
	if fractions {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

// refuseMalformed answers a request that reached no backend server because of
// its form.
func (s *Server) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	s.refused(outcome.RefusedMalformed)
	ctx.SetConnectionClose()
	writeAnswer(ctx, fasthttp.StatusBadRequest, answerBody{
		Outcome: outcomeNotRun,
		Reason:  string(outcome.RefusedMalformed),
		Message: "the request was refused and did not run: " + err.Error(),
	})
}

// refuseUnread answers a request that the library could not read.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	var large *fasthttp.ErrSmallBuffer
	status, reason := fasthttp.StatusBadRequest, outcome.RefusedMalformed
	switch {
	case errors.As(err, &large):
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, outcome.RefusedTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = fasthttp.StatusRequestEntityTooLarge, outcome.RefusedTooLarge
	}
	s.refused(reason)
	if c, ok := ctx.Conn().(*conn); ok {
		c.lingerOnClose()
	}
	writeAnswer(ctx, status, answerBody{
		Outcome: outcomeNotRun,
		Reason:  string(reason),
		Message: refusalMessages[reason],
	})
}

func writeFailure(ctx *fasthttp.RequestCtx, failure core.Fail) {
	status := fasthttp.StatusBadGateway
	if failure.Reason == outcome.FailedTimeout {
		status = fasthttp.StatusGatewayTimeout
	}
	if failure.GaveUp {
		ctx.Response.Header.Set(backend.HeaderGaveUp, "1")
	}
	writeAnswer(ctx, status, answerBody{
		Outcome: outcomeUnknown,
		Reason:  string(failure.Reason),
		Message: failureMessages[failure.Reason],
		Service: failure.Service,
	})
}

func writeAnswer(ctx *fasthttp.RequestCtx, status int, body answerBody) {
	ctx.Response.SetStatusCode(status)
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.Header.Set(backend.HeaderOutcome, body.Outcome)
	ctx.Response.Header.Set(backend.HeaderReason, body.Reason)
	raw, err := json.Marshal(body)
	if err != nil {
		return
	}
	ctx.Response.SetBodyRaw(raw)
}
