package budget

import "time"

const (
	minute = time.Minute
	// startSlack is the longest delay between the decision to send a probe and
	// its start. It is part of the interval, so that a delayed probe and a
	// prompt one are never closer together than the budget allows.
	startSlack = 50 * time.Millisecond
)

// Probes is one host's share of the deployment's budget for probes.
//
// The share depends only on settings, never on this host's view of the other
// hosts, so hosts that are partitioned or disagree still stay within the total.
// Probes are spaced evenly and unused budget does not accumulate, so neither a
// pause nor a restart gains a probe.
type Probes struct {
	perMinute int
	lastStart time.Duration
}

// NewProbes returns the budget of a process that starts now. Its first probe is
// allowed one full interval later.
func NewProbes(now time.Duration) *Probes {
	return &Probes{lastStart: now}
}

// SetLimits applies the budget of the deployment: the requests and bytes per
// minute for all hosts together, the maximum number of hosts, and the maximum
// number of bytes that one probe can cost.
func (p *Probes) SetLimits(requests int, bytes int64, hosts int, probeBytes int64) {
	p.perMinute = 0
	if requests <= 0 || bytes <= 0 || hosts <= 0 || probeBytes <= 0 {
		return
	}
	// The bytes are divided among the hosts first, so that a share smaller than
	// one complete probe allows none.
	byBytes := bytes / int64(hosts) / probeBytes
	p.perMinute = int(min(int64(requests/hosts), byBytes))
}

// PerMinute returns the number of probes per minute that the share allows.
func (p *Probes) PerMinute() int { return p.perMinute }

// Interval returns the minimum time between two probes, or 0 if no probes are
// allowed.
func (p *Probes) Interval() time.Duration {
	if p.perMinute == 0 {
		return 0
	}
	n := time.Duration(p.perMinute)
	return (minute+n-1)/n + startSlack
}

// NextAt returns the earliest instant of the next probe. ok is false if no
// probes are allowed.
func (p *Probes) NextAt() (at time.Duration, ok bool) {
	if p.perMinute == 0 {
		return 0, false
	}
	return p.lastStart + p.Interval(), true
}

// Allow reports whether a probe may start now, and if so deducts it from the
// budget.
func (p *Probes) Allow(now time.Duration) bool {
	at, ok := p.NextAt()
	if !ok || now < at {
		return false
	}
	p.lastStart = now
	return true
}
