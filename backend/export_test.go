package backend

import "time"

// OpenConnections returns the number of connections to an address.
func (p *Pool) OpenConnections(address string) (open int) {
	p.withAddress(address, func(a *addressPool) { open = a.open })
	return open
}

// HasUsableIdle reports whether any idle connection to an address would pass
// the idle check.
func (p *Pool) HasUsableIdle(address string) (usable bool) {
	p.withAddress(address, func(a *addressPool) {
		for _, c := range a.idle {
			usable = usable || c.checkIdle() == nil
		}
	})
	return usable
}

// SetIdleTimes sets the idle timeout and the interval between sweeps.
func (p *Pool) SetIdleTimes(timeout, sweepInterval time.Duration) {
	p.idleTimeout, p.sweepInterval = timeout, sweepInterval
}

// TotalOpen returns the number of connections to all addresses.
func (p *Pool) TotalOpen() int { return int(p.usage.open.Load()) }
