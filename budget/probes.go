package budget

import "time"

const (
	minute = time.Minute
	// startSlack is the time by which a probe may start after it was decided.
	// It is part of the spacing, so that a late probe and a prompt one are
	// never closer than the budget allows.
	startSlack = 50 * time.Millisecond
)

// Probes is one host's share of the deployment's budget for probes.
//
// The share depends on settings only, never on what the host believes about
// others, so hosts that are split or disagree stay within the sum. Probes are
// spaced evenly and nothing is saved up, so neither a pause nor a restart
// gains a probe.
type Probes struct {
	perMinute int
	lastStart time.Duration
}

// NewProbes returns the budget of a process that starts now. Its first
// probe comes one full spacing later.
func NewProbes(now time.Duration) *Probes {
	return &Probes{lastStart: now}
}

// SetLimits takes over the budget of the deployment: requests and bytes per minute
// for all hosts together, the largest number of hosts, and the worst case of
// the bytes that one probe costs.
func (p *Probes) SetLimits(requests int, bytes int64, hosts int, probeBytes int64) {
	p.perMinute = 0
	if requests <= 0 || bytes <= 0 || hosts <= 0 || probeBytes <= 0 {
		return
	}
	// The bytes are divided first: a share that holds no whole probe holds none.
	byBytes := bytes / int64(hosts) / probeBytes
	p.perMinute = int(min(int64(requests/hosts), byBytes))
}

// PerMinute returns the number of probes per minute that the share allows.
func (p *Probes) PerMinute() int { return p.perMinute }

// Interval returns the least time between two probes, 0 when there are none.
func (p *Probes) Interval() time.Duration {
	if p.perMinute == 0 {
		return 0
	}
	n := time.Duration(p.perMinute)
	return (minute+n-1)/n + startSlack
}

// NextAt returns the instant of the next probe. There is none when ok is
// false.
func (p *Probes) NextAt() (at time.Duration, ok bool) {
	if p.perMinute == 0 {
		return 0, false
	}
	return p.lastStart + p.Interval(), true
}

// Allow reports whether a probe may start now, and charges it.
func (p *Probes) Allow(now time.Duration) bool {
	at, ok := p.NextAt()
	if !ok || now < at {
		return false
	}
	p.lastStart = now
	return true
}
