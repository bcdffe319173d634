package backend

import "time"

// OpenConnections returns the number of connections to an address.
func (p *Pool) OpenConnections(name string) (open int) {
	p.withAddress(name, func(a *address) { open = a.open })
	return open
}

// HasUsableIdle reports whether an idle connection would pass the idle check.
func (p *Pool) HasUsableIdle(name string) (usable bool) {
	p.withAddress(name, func(a *address) {
		for _, c := range a.idle {
			usable = usable || c.checkIdle() == nil
		}
	})
	return usable
}

// SetIdleTimes shortens the times after which connections are closed.
func (p *Pool) SetIdleTimes(timeout, every time.Duration) {
	p.idleTimeout, p.sweepEvery = timeout, every
}
