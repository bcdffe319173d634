package peer

import "wisteriapond/core"

// batch holds encoded messages that leave in one datagram or stream.
type batch struct {
	t     *Transport
	raw   []byte
	parts []part
}

// part is a message of a batch with its own bytes.
type part struct {
	message *core.Message
	raw     []byte
}

// add reports false when the message does not fit. The first one always does.
func (b *batch) add(message *core.Message, raw []byte) bool {
	if len(b.parts) == maxBatch || len(b.parts) > 0 && len(b.raw)+len(raw) > datagramLimit {
		return false
	}
	b.parts = append(b.parts, part{message: message, raw: raw})
	if len(b.parts) == 1 {
		b.raw = raw
	} else {
		b.raw = append(b.raw, raw...)
	}
	return true
}

func (b *batch) send(l *link) {
	if len(b.parts) == 0 {
		return
	}
	n := int64(len(b.parts))
	defer b.t.waiting.Add(-n)
	way, dropped := l.write(b.raw)
	if dropped != "" {
		b.t.config.Count(CounterDropped, dropped, n)
		return
	}
	b.t.config.Count(CounterMessagesOut, way, n)
	for _, p := range b.parts {
		bytesByKind(p.message, p.raw, func(kind string, n int64) { b.t.config.Count(CounterBytesOut, kind, n) })
	}
}
