package backend

import (
	"bufio"
	"context"
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

func probeHead(command *core.StartProbe) []byte {
	var header fasthttp.RequestHeader
	header.SetMethod(fasthttp.MethodGet)
	header.SetRequestURI(command.Probe.Path)
	header.SetHost(command.Address)
	header.SetConnectionClose()
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
