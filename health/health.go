// Package health detects unhealthy upstreams from the results of the requests
// sent to them. Instants are durations since an arbitrary origin.
package health

import "time"

const (
	// maxConsecutiveFailures is the number of consecutive failures that ejects
	// an upstream.
	maxConsecutiveFailures = 5
	// minSamples is the number of attempts before the failure rate and the
	// latency of an upstream are evaluated.
	minSamples = 20
	// failingPermille is the failure rate at which an upstream is ejected if
	// most others have at most healthyPermille.
	failingPermille = 500
	healthyPermille = 100
	// slowFactor is the ratio to the latency of most others above which an
	// upstream is ejected. Below that its share of the requests falls, but its
	// slots stay in use.
	slowFactor = 5
	// latencyDivisor and failureDivisor are the inverse weights of a new value
	// in the moving averages of latency and failure rate.
	latencyDivisor = 8
	failureDivisor = 16
	// failureLatencyFactor times the typical latency is the least latency that
	// is recorded for a failure. Otherwise a server that fails immediately would
	// look fast.
	failureLatencyFactor = 4
	// minTrialWait is the wait before the first trial request to an ejected
	// upstream. It doubles after each failed trial, up to maxTrialWait.
	minTrialWait = time.Second
	maxTrialWait = 30 * time.Second
	permille     = 1000
)

// Upstream keeps the statistics of one upstream. latency and failureRate are
// moving averages, the failure rate in permille.
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

// Verdict is the change of ejections that the result of a request has caused.
type Verdict string

// The verdicts. Their values are label values of the metric that counts them.
const (
	Unchanged       Verdict = ""
	EjectedFailures Verdict = "failures"
	EjectedSlow     Verdict = "slow"
	// Released means that most upstreams fail, so that all ejections have
	// ended.
	Released   Verdict = "released"
	Reinstated Verdict = "reinstated"
)

// HasSamples reports whether the result of any request has been recorded.
func (u *Upstream) HasSamples() bool { return u.samples > 0 }

// Latency returns the moving average of the response time, or typicalLatency
// before the first result.
func (u *Upstream) Latency(typicalLatency time.Duration) time.Duration {
	if u.samples == 0 {
		return typicalLatency
	}
	return u.latency
}

// Ejected reports whether the upstream is ejected and receives only trial
// requests.
func (u *Upstream) Ejected() bool { return u.ejected }

// ConsecutiveFailures returns the number of failed requests since the last
// successful one.
func (u *Upstream) ConsecutiveFailures() int { return u.consecutiveFailures }

// TrialDue reports whether an ejected upstream should receive a trial request.
func (u *Upstream) TrialDue(now time.Duration) bool {
	return u.ejected && !u.trialRunning && now >= u.nextTrial
}

// StartTrial records that a trial request is in flight.
func (u *Upstream) StartTrial() { u.trialRunning = true }

// AbandonTrial records that the trial request ended without a result.
func (u *Upstream) AbandonTrial() { u.trialRunning = false }

// StartWarmUp limits the upstream to one slot at first, since a server that has
// just started is slow until it has warmed up.
func (u *Upstream) StartWarmUp(now time.Duration) {
	u.warmingUp = true
	u.warmUpStart = now
}

// UsableSlots returns how many of its slots an upstream may use: 1 right after
// StartWarmUp, rising linearly to all of them over the given warm-up time.
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

// WarmUpLeft returns the remaining part of the given warm-up time.
func (u *Upstream) WarmUpLeft(now, warmUp time.Duration) time.Duration {
	if !u.warmingUp {
		return 0
	}
	return max(0, u.warmUpStart+warmUp-now)
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
