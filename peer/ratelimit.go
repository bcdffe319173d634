package peer

import (
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	refusalWindow = time.Minute
	// refusalLines bounds the log lines per window: anybody can make a host
	// refuse handshakes.
	refusalLines = 20
)

// refusalLog writes a bounded number of lines about peers that were refused.
type refusalLog struct {
	log log.Interface

	mu         sync.Mutex
	start      time.Time
	lines      int
	suppressed int
}

func (r *refusalLog) warn(message, address, reason string) {
	suppressed, ok := r.admit(time.Now())
	if !ok {
		return
	}
	entry := r.log.WithField("address", address).WithField("reason", reason)
	if suppressed > 0 {
		entry = entry.WithField("lines_suppressed", suppressed)
	}
	entry.Warn(message)
}

// admit reports whether a line may be written, and how many were not since the
// last one.
func (r *refusalLog) admit(now time.Time) (suppressed int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.start) >= refusalWindow {
		r.start = now
		r.lines = 0
	}
	if r.lines >= refusalLines {
		r.suppressed++
		return 0, false
	}
	r.lines++
	suppressed = r.suppressed
	r.suppressed = 0
	return suppressed, true
}
