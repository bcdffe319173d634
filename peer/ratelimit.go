package peer

import (
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	logWindow = time.Minute
	// maxLogEntries bounds the log lines per window: anybody can make a host
	// refuse handshakes.
	maxLogEntries = 20
)

// limitedLog writes a bounded number of lines about peers that were refused.
type limitedLog struct {
	log log.Interface

	mu          sync.Mutex
	windowStart time.Time
	entries     int
	suppressed  int
}

func (r *limitedLog) warn(message, address, reason string) {
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
func (r *limitedLog) admit(now time.Time) (suppressed int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.windowStart) >= logWindow {
		r.windowStart = now
		r.entries = 0
	}
	if r.entries >= maxLogEntries {
		r.suppressed++
		return 0, false
	}
	r.entries++
	suppressed = r.suppressed
	r.suppressed = 0
	return suppressed, true
}
