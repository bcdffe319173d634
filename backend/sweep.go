package backend

import "time"

// startSweep makes sure that a sweep follows while connections are idle.
func (p *Pool) startSweep() {
	p.mu.RLock()
	sweeping := p.sweeping
	p.mu.RUnlock()
	if sweeping {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.sweepEvery, p.sweep)
	}
}

// sweep closes connections that were idle too long, or are too many, and
// forgets addresses without connections.
func (p *Pool) sweep() {
	var closing []*connection
	kept := 0
	p.mu.Lock()
	for name, a := range p.addresses {
		closing = append(closing, a.removeIdle(time.Now().Add(-p.idleTimeout), maxIdle-kept)...)
		idle, open := a.counts()
		kept += idle
		if open == 0 {
			delete(p.addresses, name)
		}
	}
	p.sweeping = len(p.addresses) > 0
	if p.sweeping {
		time.AfterFunc(p.sweepEvery, p.sweep)
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// removeIdle takes out the connections that were put back before the given
// time, and the oldest ones beyond limit.
func (a *address) removeIdle(before time.Time, limit int) []*connection {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := max(0, len(a.idle)-limit)
	for n < len(a.idle) && a.idle[n].idleSince.Before(before) {
		n++
	}
	removed := append([]*connection(nil), a.idle[:n]...)
	a.idle = append(a.idle[:0], a.idle[n:]...)
	a.open -= n
	return removed
}

func (a *address) counts() (idle, open int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.idle), a.open
}
