package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"wisteriapond/core"
	"wisteriapond/outcome"
	"wisteriapond/recovery"
)

const (
	probeBufferBytes = 4 << 10
	// probeTimeout applies if the command sets no timeout.
	probeTimeout = time.Second
)

// Probe measures a backend server with one GET request. Unless command.Reuse is
// set, the request uses a new connection, and a response beyond the size limit
// is cut off and counts as complete. With Reuse the request may use an idle
// connection, and a response beyond the limit is malformed. The returned
// duration runs from the first byte sent to the end of the response.
func (p *Pool) Probe(ctx context.Context, clock Clock, command core.StartProbe) (outcome.Facts, time.Duration) {
	facts := outcome.Facts{Load: -1}
	timeout := command.Probe.Timeout
	if timeout <= 0 {
		timeout = probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	took, err := p.probe(ctx, clock, &command, &facts)
	facts.Cause = causeOf(err)
	return facts, took
}

func (p *Pool) probe(ctx context.Context, clock Clock, command *core.StartProbe, facts *outcome.Facts) (took time.Duration, err error) {
	defer recovery.ToError(&err)
	if clock.Now() > command.StartBefore {
		return 0, errExpired
	}
	if command.Reuse {
		return p.probeReused(ctx, clock, command, facts)
	}
	conn, err := p.open(ctx, command.Address, command.Connections)
	if err != nil {
		return 0, err
	}
	defer p.discard(conn)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })
	defer stop()
	header := probeHeader(command)
	if clock.Now() > command.StartBefore {
		return 0, errExpired
	}
	facts.Wrote = true
	start := time.Now()
	if _, err := conn.Write(header); err != nil {
		return time.Since(start), err
	}
	err = readProbeResponse(conn, &p.Dialect, command.Probe.AnswerLimit, facts)
	return time.Since(start), err
}

// probeReused sends a probe on an idle connection, which is kept again after a
// complete response. The server may have dropped an idle connection, which does
// not indicate a health problem, so a reset is followed by one attempt on a new
// connection.
func (p *Pool) probeReused(ctx context.Context, clock Clock, command *core.StartProbe, facts *outcome.Facts) (time.Duration, error) {
	if conn := p.reuse(command.Address, p.idleTimeout); conn != nil {
		took, err := p.probeOnConnection(ctx, conn, clock, command, facts)
		if causeOf(err) != outcome.CauseReset || errors.Is(err, errOtherInstance) {
			return took, err
		}
	}
	conn, err := p.open(ctx, command.Address, command.Connections)
	if err != nil {
		return 0, err
	}
	return p.probeOnConnection(ctx, conn, clock, command, facts)
}

// probeOnConnection sends a probe on conn, and then keeps or closes it.
func (p *Pool) probeOnConnection(ctx context.Context, conn *connection, clock Clock, command *core.StartProbe, facts *outcome.Facts) (time.Duration, error) {
	if clock.Now() > command.StartBefore {
		p.discard(conn)
		return 0, errExpired
	}
	start := time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	facts.Wrote = true
	reusable, err := roundTripProbe(conn, &p.Dialect, command, facts)
	if reusable {
		p.put(conn)
	} else {
		p.discard(conn)
	}
	return time.Since(start), err
}

// roundTripProbe sends a probe and reads its response. It reports whether the
// connection can carry another request.
func roundTripProbe(conn *connection, d *Dialect, command *core.StartProbe, facts *outcome.Facts) (reusable bool, err error) {
	if _, err := conn.Write(probeHeader(command)); err != nil {
		return false, err
	}
	var response fasthttp.Response
	if err := skipInterim(conn.reader, &response.Header); err != nil {
		return false, err
	}
	if err := response.ReadLimitBody(conn.reader, int(command.Probe.AnswerLimit)); err != nil {
		return false, headerError(err)
	}
	conn.applyKeepAlive(&response.Header)
	readFacts(&response.Header, d, &core.StartAttempt{}, facts)
	if !mayBeFrom(command.Instance, &response.Header, d) {
		return false, errOtherInstance
	}
	// As with requests, a copy of a refusal may follow late.
	return !response.ConnectionClose() && response.StatusCode() == fasthttp.StatusOK, nil
}

// mayBeFrom reports whether a response to a probe counts as that of the given instance.
// A server that refuses a probe, as it refuses requests, need not name itself. What it
// asks for then, such as a wait, applies to the server that was probed.
func mayBeFrom(instance string, h *fasthttp.ResponseHeader, d *Dialect) bool {
	if d.RespondingInstance == "" || instance == "" {
		return true
	}
	named := h.Peek(d.RespondingInstance)
	if len(named) == 0 {
		return h.StatusCode() >= fasthttp.StatusBadRequest && h.StatusCode() != fasthttp.StatusMisdirectedRequest
	}
	return string(named) == instance
}

func probeHeader(command *core.StartProbe) []byte {
	var header fasthttp.RequestHeader
	header.SetMethod(fasthttp.MethodGet)
	header.SetRequestURI(command.Probe.Path)
	header.SetHost(command.Address)
	if !command.Reuse {
		header.SetConnectionClose()
	}
	return header.Header()
}

func readProbeResponse(conn io.Reader, d *Dialect, limit int64, facts *outcome.Facts) error {
	limited := &io.LimitedReader{R: conn, N: limit}
	reader := bufio.NewReaderSize(limited, probeBufferBytes)
	var response fasthttp.Response
	if err := skipInterim(reader, &response.Header); err != nil {
		return err
	}
	response.StreamBody = true
	if err := response.ReadLimitBody(reader, 0); err != nil {
		return headerError(err)
	}
	readFacts(&response.Header, d, &core.StartAttempt{}, facts)
	stream := response.BodyStream()
	if stream == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, stream)
	facts.Bytes = n
	if err != nil && limited.N > 0 {
		return bodyError(err)
	}
	return nil
}
