package caller

import (
	"sync"

	"wisteriapond/core"
	"wisteriapond/intake"
)

// usage is what a connection does and holds, as a census reports it.
type usage struct {
	mu    sync.Mutex
	phase intake.Phase
	since core.Instant
	// carried is set once the connection has carried a request.
	carried bool
	// cut is set once the connection was closed for a shortage or in a shutdown. It then
	// carries no further request.
	cut bool
	// writing is set while a write to the caller is under way, which began at
	// writingSince.
	writing      bool
	writingSince core.Instant
	streaming    bool
	uploading    bool
	sendsAhead   bool
	held         int64
	// ahead is set while requests run before their turn, and aheadHeld is the size of
	// their responses that are buffered. Both outlive the current request.
	ahead     bool
	aheadHeld int64
	// release returns what answers take of the bound for all connections.
	release func()
}

// enter changes the phase. It reports false if the connection was cut.
func (u *usage) enter(phase intake.Phase, now core.Instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cut {
		return false
	}
	u.phase, u.since = phase, now
	u.carried = u.carried || phase == intake.PhaseRequest
	return true
}

// enterIdle ends a request, with everything that it held.
func (u *usage) enterIdle(now core.Instant) bool {
	u.endRequest()
	return u.enter(intake.PhaseIdle, now)
}

// endRequest releases what the current request holds.
func (u *usage) endRequest() {
	u.mu.Lock()
	release := u.release
	u.release, u.held, u.streaming, u.uploading, u.sendsAhead = nil, 0, false, false, false
	u.mu.Unlock()
	if release != nil {
		release()
	}
}

// hold adds bytes that the current request holds. release is called at its end; it may
// be nil.
func (u *usage) hold(bytes int64, release func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.held += bytes
	if earlier := u.release; earlier != nil && release != nil {
		u.release = func() { earlier(); release() }
	} else if release != nil {
		u.release = release
	}
}

func (u *usage) setStreaming() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.streaming = true
}

// setUploading reports that a body which is not buffered is being received, or that it
// has been received completely.
func (u *usage) setUploading(uploading bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.uploading = uploading
}

func (u *usage) setSendsAhead() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sendsAhead = true
}

func (u *usage) setAhead(ahead bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ahead = ahead
}

// holdAhead adds bytes that are buffered for requests before their turn.
func (u *usage) holdAhead(bytes int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.aheadHeld += bytes
}

func (u *usage) beginWrite(now core.Instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writing, u.writingSince = true, now
}

// beginLinger begins the wait for a caller that has not received all that was written.
// In a shortage, the connection is closed like one whose response is not read.
func (u *usage) beginLinger(now core.Instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.phase, u.since = intake.PhaseRequest, now
	u.writing, u.writingSince = true, now
}

func (u *usage) endWrite() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.writing = false
}

// describe returns the entry of the connection in a census.
func (c *conn) describe(now core.Instant, b *intake.Bounds) intake.Connection {
	u := &c.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	d := intake.Connection{ID: c.id, Phase: u.phase, For: now.Sub(u.since), Uploading: u.uploading, Server: u.streaming || u.uploading}
	if u.writing {
		d.Stalled = now.Sub(u.writingSince)
	}
	d.Bytes = int64(max(0, c.readBufferBytes-maxHeaderBytes)) + b.Charge(intake.Use{
		Held: u.held + u.aheadHeld, Ahead: u.ahead, SendsAhead: u.sendsAhead || u.uploading, Streaming: u.streaming, Stalled: d.Stalled >= intake.StallNotice,
	})
	return d
}

// cut closes a connection for a shortage, unless it has moved on since the decision. A
// stalled answer is reset, so that it does not look complete.
func (c *conn) cut(closure intake.Closure) {
	u := &c.usage
	u.mu.Lock()
	applies := !u.cut && u.phase == closure.Phase
	switch closure.Reason {
	case intake.ReasonStalled:
		applies = applies && u.writing
	case intake.ReasonBody:
		applies = applies && u.uploading
	}
	if applies {
		u.cut = true
	}
	u.mu.Unlock()
	if applies {
		c.closeNow(closure.Reason == intake.ReasonStalled)
	}
}
