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
)

const (
	probeBufferBytes = 4 << 10
	// probeTimeout applies when the command names none.
	probeTimeout = time.Second
)

// Probe measures a backend server: one GET on a connection of its own. The
// answer is cut off at the limit of the command, which counts as answered.
// The duration is that from the first byte sent to the end of the answer.
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

func (p *Pool) probe(ctx context.Context, clock Clock, command *core.StartProbe, facts *outcome.Facts) (time.Duration, error) {
	if clock.Now() > command.StartBefore {
		return 0, errExpired
	}
	if command.Reuse {
		return p.probeKept(ctx, clock, command, facts)
	}
	conn, err := p.open(ctx, command.Address, command.Connections)
	if err != nil {
		return 0, err
	}
	defer p.drop(conn)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(past) })
	defer stop()
	head := probeHead(command)
	if clock.Now() > command.StartBefore {
		return 0, errExpired
	}
	facts.Wrote = true
	begun := time.Now()
	if _, err := conn.Write(head); err != nil {
		return time.Since(begun), err
	}
	err = readProbe(conn, &p.Dialect, command.Probe.AnswerLimit, facts)
	return time.Since(begun), err
}

// probeKept measures on a kept connection, which is kept again after a whole
// answer. A server may have forgotten a connection that was idle: that says
// nothing about its health, so that a new one is opened.
func (p *Pool) probeKept(ctx context.Context, clock Clock, command *core.StartProbe, facts *outcome.Facts) (time.Duration, error) {
	if conn := p.reuse(command.Address, p.idleTimeout); conn != nil {
		took, err := p.probeOn(ctx, conn, clock, command, facts)
		if causeOf(err) != outcome.CauseReset || errors.Is(err, errOtherInstance) {
			return took, err
		}
	}
	conn, err := p.open(ctx, command.Address, command.Connections)
	if err != nil {
		return 0, err
	}
	return p.probeOn(ctx, conn, clock, command, facts)
}

// probeOn measures on a connection, and keeps or drops it.
func (p *Pool) probeOn(ctx context.Context, conn *connection, clock Clock, command *core.StartProbe, facts *outcome.Facts) (time.Duration, error) {
	if clock.Now() > command.StartBefore {
		p.drop(conn)
		return 0, errExpired
	}
	begun := time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	facts.Wrote = true
	keep, err := exchangeProbe(conn, &p.Dialect, command, facts)
	if keep {
		p.put(conn)
	} else {
		p.drop(conn)
	}
	return time.Since(begun), err
}

// exchangeProbe sends a probe and reads its answer. It reports whether the
// connection can carry another request.
func exchangeProbe(conn *connection, d *Dialect, command *core.StartProbe, facts *outcome.Facts) (keep bool, err error) {
	if _, err := conn.Write(probeHead(command)); err != nil {
		return false, err
	}
	var response fasthttp.Response
	if err := response.ReadLimitBody(conn.reader, int(command.Probe.AnswerLimit)); err != nil {
		return false, headError(err)
	}
	conn.noteKeepAlive(&response.Header)
	readFacts(&response.Header, d, &core.StartAttempt{}, facts)
	if by := response.Header.Peek(d.RespondingInstance); d.RespondingInstance != "" && command.Instance != "" && string(by) != command.Instance {
		return false, errOtherInstance
	}
	return !response.ConnectionClose(), nil
}

func probeHead(command *core.StartProbe) []byte {
	var header fasthttp.RequestHeader
	header.SetMethod(fasthttp.MethodGet)
	header.SetRequestURI(command.Probe.Path)
	header.SetHost(command.Address)
	if !command.Reuse {
		header.SetConnectionClose()
	}
	return header.Header()
}

func readProbe(conn io.Reader, d *Dialect, limit int64, facts *outcome.Facts) error {
	cut := &io.LimitedReader{R: conn, N: limit}
	var response fasthttp.Response
	response.StreamBody = true
	if err := response.ReadLimitBody(bufio.NewReaderSize(cut, probeBufferBytes), 0); err != nil {
		return headError(err)
	}
	readFacts(&response.Header, d, &core.StartAttempt{}, facts)
	stream := response.BodyStream()
	if stream == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, stream)
	facts.Bytes = n
	if err != nil && cut.N > 0 {
		return bodyError(err)
	}
	return nil
}
