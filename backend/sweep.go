package backend

import "time"

// scheduleSweep schedules a sweep unless one is already scheduled.
func (p *Pool) scheduleSweep() {
	p.mu.RLock()
	scheduled := p.sweepScheduled
	p.mu.RUnlock()
	if scheduled {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sweepScheduled {
		p.sweepScheduled = true
		time.AfterFunc(p.sweepInterval, p.sweep)
	}
}

// sweep closes idle connections that have expired or exceed the total limit,
// and removes addresses without connections.
func (p *Pool) sweep() {
	var removed []*connection
	idleTotal := 0
	p.mu.Lock()
	for address, a := range p.addresses {
		removed = append(removed, a.removeIdle(time.Now().Add(-p.idleTimeout), maxIdleConnections-idleTotal)...)
		idle, open := a.counts()
		idleTotal += idle
		if open == 0 {
			delete(p.addresses, address)
		}
	}
	p.sweepScheduled = len(p.addresses) > 0
	if p.sweepScheduled {
		time.AfterFunc(p.sweepInterval, p.sweep)
	}
	p.mu.Unlock()
	for _, c := range removed {
		c.close()
	}
	p.countClosed(len(removed))
}

// removeIdle removes and returns the connections that became idle before the
// given time, and the oldest ones beyond limit.
func (a *addressPool) removeIdle(before time.Time, limit int) []*connection {
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

func (a *addressPool) counts() (idle, open int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.idle), a.open
}
