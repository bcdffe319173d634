package caller

import (
	"io"

	"github.com/valyala/fasthttp"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// exceededLimitStatus returns the response status for a request whose header
// section or announced body exceeds the configured limits, or 0 if it exceeds
// neither.
func exceededLimitStatus(h *fasthttp.RequestHeader, limits *config.CallerLimits) int {
	switch {
	case limits.HeaderBytes > 0 && len(h.RawHeaders()) > limits.HeaderBytes:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case limits.BodyBytes > 0 && int64(h.ContentLength()) > limits.BodyBytes:
		return fasthttp.StatusRequestEntityTooLarge
	}
	return 0
}

// refuseTooLarge responds to a request whose body is left unread.
func (s *Server) refuseTooLarge(ctx *fasthttp.RequestCtx, status int) {
	s.observeRefusal(outcome.RefusedTooLarge)
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*conn); ok {
		c.lingerOnClose()
	}
	writeError(ctx, status, errorBody{
		Outcome: outcomeNotRun,
		Reason:  string(outcome.RefusedTooLarge),
		Message: refusalMessages[outcome.RefusedTooLarge],
	})
}

// limitedBody is a body of unknown length that fails beyond a limit.
type limitedBody struct {
	io.Reader
	remaining int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, &RequestError{Reason: "the request body is larger than the limit"}
	}
	return n, err
}
