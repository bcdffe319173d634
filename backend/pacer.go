package backend

import (
	"sync"
	"time"
)

const (
	// paceSlice is the time of which one read takes the bytes, so that a slow
	// transfer flows evenly.
	paceSlice = 20 * time.Millisecond
	minSlice  = 1 << 10
)

// pacer limits the rate of a transfer. The transfer's goroutine waits on a
// timer; the control goroutine only changes the rate.
type pacer struct {
	mu   sync.Mutex
	rate int64
	// debt is the number of bytes that were read ahead of the rate, as of at.
	debt    float64
	at      time.Time
	changed chan struct{}
	ended   bool
}

func (p *pacer) init(rate int64) {
	p.rate = rate
	p.changed = make(chan struct{}, 1)
}

func (p *pacer) setRate(rate int64) {
	p.mu.Lock()
	p.settle(time.Now())
	p.rate = rate
	p.mu.Unlock()
	p.signal()
}

func (p *pacer) cancel() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.signal()
}

func (p *pacer) signal() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// spend notes bytes that were read.
func (p *pacer) spend(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate > 0 {
		p.settle(time.Now())
		p.debt += float64(n)
	}
}

// settle brings the debt up to date. Time without reading earns nothing.
func (p *pacer) settle(now time.Time) {
	p.debt = max(0, p.debt-now.Sub(p.at).Seconds()*float64(p.rate))
	if p.rate == 0 {
		p.debt = 0
	}
	p.at = now
}

// wait waits until the next bytes are due, and returns the part of the buffer
// that may be filled.
func (p *pacer) wait(buffer []byte) []byte {
	for {
		pause, slice := p.next()
		if pause <= 0 {
			return buffer[:min(len(buffer), slice)]
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-p.changed:
			timer.Stop()
		}
	}
}

func (p *pacer) next() (pause time.Duration, slice int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate <= 0 || p.ended {
		return 0, copyBufferBytes
	}
	p.settle(time.Now())
	slice = max(minSlice, int(float64(p.rate)*paceSlice.Seconds()))
	return time.Duration(p.debt / float64(p.rate) * float64(time.Second)), slice
}
