package peer

import (
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// logWindow is the period to which maxLogEntries applies.
	logWindow = time.Minute
	// maxLogEntries bounds the log entries per window. Without a limit, any process
	// could flood the log with handshakes that fail.
	maxLogEntries = 20
)

// rateLimitedLog logs failed handshakes and closed connections, at most
// maxLogEntries per window.
type rateLimitedLog struct {
	log log.Interface

	mu          sync.Mutex
	windowStart time.Time
	entries     int
	suppressed  int
}

func (l *rateLimitedLog) warn(message, address, reason string) {
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

// admit reports whether an entry may be written, and how many entries have been
// suppressed since the last one.
func (l *rateLimitedLog) admit(now time.Time) (suppressed int, ok bool) {
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
