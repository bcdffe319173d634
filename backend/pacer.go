package backend

import (
	"sync"
	"time"
)

const (
	// pacingInterval is the transfer time covered by a single read. A short
	// interval keeps a slow transfer even.
	pacingInterval = 20 * time.Millisecond
	// minPacedBytes is the minimum size to which a paced read is limited. At low
	// rates, a read therefore covers more time than pacingInterval.
	minPacedBytes = 1 << 10
)

// pacer limits the rate of a transfer. The goroutine of the transfer waits on a
// timer; the control goroutine only changes the rate.
type pacer struct {
	mu sync.Mutex
	// rate is in bytes per second; 0 means no limit.
	rate int64
	// debt is the number of bytes read ahead of the rate, as of updatedAt.
	debt      float64
	updatedAt time.Time
	// changed holds a token after the rate has changed or the transfer was
	// canceled.
	changed  chan struct{}
	canceled bool
}

func (p *pacer) init(rate int64) {
	p.rate = rate
	p.changed = make(chan struct{}, 1)
}

func (p *pacer) setRate(rate int64) {
	p.mu.Lock()
	p.updateDebt(time.Now())
	p.rate = rate
	p.mu.Unlock()
	p.signal()
}

func (p *pacer) cancel() {
	p.mu.Lock()
	p.canceled = true
	p.mu.Unlock()
	p.signal()
}

func (p *pacer) signal() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// consume records n bytes as read.
func (p *pacer) consume(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate > 0 {
		p.updateDebt(time.Now())
		p.debt += float64(n)
	}
}

// updateDebt reduces the debt by the bytes allowed since the last update.
// Unused time earns no credit.
func (p *pacer) updateDebt(now time.Time) {
	p.debt = max(0, p.debt-now.Sub(p.updatedAt).Seconds()*float64(p.rate))
	if p.rate == 0 {
		p.debt = 0
	}
	p.updatedAt = now
}

// wait blocks until the next bytes may be read, and returns the part of the
// buffer that may be filled.
func (p *pacer) wait(buffer []byte) []byte {
	for {
		delay, maxBytes := p.nextRead()
		if delay <= 0 {
			return buffer[:min(len(buffer), maxBytes)]
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-p.changed:
			timer.Stop()
		}
	}
}

// nextRead returns how long to wait before the next read, and the maximum
// number of bytes of that read.
func (p *pacer) nextRead() (delay time.Duration, maxBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate <= 0 || p.canceled {
		return 0, copyBufferBytes
	}
	p.updateDebt(time.Now())
	maxBytes = max(minPacedBytes, int(float64(p.rate)*pacingInterval.Seconds()))
	return time.Duration(p.debt / float64(p.rate) * float64(time.Second)), maxBytes
}
