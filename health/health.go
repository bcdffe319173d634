// Package health judges upstreams by what requests observe of them. Instants
// are durations since an arbitrary start.
package health

import "time"

const (
	// maxConsecutiveFailures is the number of failures in a row that ejects.
	maxConsecutiveFailures = 5
	// minSamples is the number of attempts before a share or a latency counts.
	minSamples = 20
	// failingPermille and soundPermille are the failure shares at which an
	// upstream stands out from peers that work.
	failingPermille = 500
	healthyPermille = 100
	// slowFactor is how many times slower than most peers an upstream must be
	// to be ejected. Below that its share falls, but its slots stay in use.
	slowFactor = 5
	// latencyDivisor and shareWeight are the inverse weights of a new value in
	// the moving averages.
	latencyDivisor = 8
	failureDivisor = 16
	// failureLatencyFactor is how many times the usual latency a failure counts at
	// least. Without it a server that fails at once would look fast.
	failureLatencyFactor = 4
	minTrialWait         = time.Second
	maxTrialWait         = 30 * time.Second
	permille             = 1000
)

// Upstream is the statistics of one upstream.
type Upstream struct {
	latency             time.Duration
	failureRate         int
	samples             int
	consecutiveFailures int
	ejected             bool
	trialRunning        bool
	nextTrial           time.Duration
	trialWait           time.Duration
	warmingUp           bool
	warmUpStart         time.Duration
}

// Verdict is what a result changed.
type Verdict string

// The verdicts. They are the labels of the ejection counter.
const (
	Unchanged       Verdict = ""
	EjectedFailures Verdict = "failures"
	EjectedSlow     Verdict = "slow"
	// Released means that most upstreams fail, so that all ejections ended.
	Released   Verdict = "released"
	Reinstated Verdict = "reinstated"
)

// HasSamples reports whether a request has shown anything about the upstream.
func (u *Upstream) HasSamples() bool { return u.samples > 0 }

// Latency returns the moving average of the response time, or the given usual
// one before the first result.
func (u *Upstream) Latency(typicalLatency time.Duration) time.Duration {
	if u.samples == 0 {
		return typicalLatency
	}
	return u.latency
}

// Ejected reports whether the upstream gets trial requests only.
func (u *Upstream) Ejected() bool { return u.ejected }

// TrialDue reports whether an ejected upstream should get a trial request.
func (u *Upstream) TrialDue(now time.Duration) bool {
	return u.ejected && !u.trialRunning && now >= u.nextTrial
}

// StartTrial notes that a trial request is under way.
func (u *Upstream) StartTrial() { u.trialRunning = true }

// AbandonTrial notes that the trial request ended without a result.
func (u *Upstream) AbandonTrial() { u.trialRunning = false }

// StartWarmUp lets the upstream start with one slot, since a server that has
// just started is slow until it is warm.
func (u *Upstream) StartWarmUp(now time.Duration) {
	u.warmingUp = true
	u.warmUpStart = now
}

// UsableSlots returns how many of its slots an upstream may be given: 1 right after
// BeginRamp, rising to all over the cold-start time.
func (u *Upstream) UsableSlots(now time.Duration, slots int, warmUp time.Duration) int {
	if !u.warmingUp {
		return slots
	}
	elapsed := now - u.warmUpStart
	if elapsed >= warmUp {
		u.warmingUp = false
		return slots
	}
	return 1 + int(time.Duration(slots-1)*elapsed/warmUp)
}

func (u *Upstream) failing() bool {
	return u.ejected || u.consecutiveFailures >= maxConsecutiveFailures
}

func (u *Upstream) record(latency time.Duration, failed int) {
	if u.samples == 0 {
		u.latency = latency
	}
	u.latency += (latency - u.latency) / latencyDivisor
	u.failureRate += (failed*permille - u.failureRate) / failureDivisor
	u.samples++
}
