package peer

import "wisteriapond/core"

// batch holds encoded messages that are sent in one datagram or stream.
type batch struct {
	t       *Transport
	raw     []byte
	encoded []encodedMessage
}

// encodedMessage is one message of a batch with its encoding.
type encodedMessage struct {
	message *core.Message
	raw     []byte
}

// add appends a message. It reports false if the message does not fit; the first
// one always does.
func (b *batch) add(message *core.Message, raw []byte) bool {
	if len(b.encoded) == maxBatch || len(b.encoded) > 0 && len(b.raw)+len(raw) > datagramLimit {
		return false
	}
	b.encoded = append(b.encoded, encodedMessage{message: message, raw: raw})
	if len(b.encoded) == 1 {
		b.raw = raw
	} else {
		b.raw = append(b.raw, raw...)
	}
	return true
}

func (b *batch) send(c *connection) {
	if len(b.encoded) == 0 {
		return
	}
	n := int64(len(b.encoded))
	defer b.t.pendingMessages.Add(-n)
	transport, dropped := c.write(b.raw)
	if dropped != "" {
		b.t.config.Count(CounterDropped, dropped, n)
		return
	}
	b.t.config.Count(CounterMessagesOut, transport, n)
	for _, m := range b.encoded {
		countBytesByKind(m.message, m.raw, func(kind string, n int64) { b.t.config.Count(CounterBytesOut, kind, n) })
	}
}
