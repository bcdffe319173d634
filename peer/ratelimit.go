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

func (l *limitedLog) warn(message, address, reason string) {
	suppressed, ok := l.admit(time.Now())
	if !ok {
		return
	}
	entry := l.log.WithField("address", address).WithField("reason", reason)
	if suppressed > 0 {
		entry = entry.WithField("lines_suppressed", suppressed)
	}
	entry.Warn(message)
}

// admit reports whether a line may be written, and how many were not since the
// last one.
func (l *limitedLog) admit(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= logWindow {
		l.windowStart = now
		l.entries = 0
	}
	if l.entries >= maxLogEntries {
		l.suppressed++
		return 0, false
	}
	l.entries++
	suppressed = l.suppressed
	l.suppressed = 0
	return suppressed, true
}
