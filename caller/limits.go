package caller

import (
	"io"

	"github.com/valyala/fasthttp"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// exceeded returns the status with which a request is refused whose head or
// announced body exceeds the limits of the configuration, or 0.
func exceeded(h *fasthttp.RequestHeader, limits *config.CallerLimits) int {
	switch {
	case limits.HeaderBytes > 0 && len(h.RawHeaders()) > limits.HeaderBytes:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case limits.BodyBytes > 0 && int64(h.ContentLength()) > limits.BodyBytes:
		return fasthttp.StatusRequestEntityTooLarge
	}
	return 0
}

// refuseTooLarge answers a request whose body is left unread.
func (s *Server) refuseTooLarge(ctx *fasthttp.RequestCtx, status int) {
	s.refused(outcome.RefusedTooLarge)
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*conn); ok {
		c.lingerOnClose()
	}
	writeAnswer(ctx, status, answerBody{
		Outcome: outcomeNotRun,
		Reason:  string(outcome.RefusedTooLarge),
		Message: refusalMessages[outcome.RefusedTooLarge],
	})
}

// limitedBody is a body of unknown length that breaks off beyond a limit.
type limitedBody struct {
	io.Reader
	left int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, &RequestError{Reason: "the request body is larger than the limit"}
	}
	return n, err
}
