// Package health judges upstreams by what requests observe of them. Instants
// are durations since an arbitrary start.
package health

import "time"

const (
	// maxConsecutive is the number of failures in a row that ejects.
	maxConsecutive = 5
	// minSamples is the number of attempts before a share or a latency counts.
	minSamples = 20
	// failingPermille and soundPermille are the failure shares at which an
	// upstream stands out from peers that work.
	failingPermille = 500
	soundPermille   = 100
	// slowFactor is how many times slower than most peers an upstream must be
	// to be ejected. Below that its share falls, but its slots stay in use.
	slowFactor = 5
	// latencyWeight and shareWeight are the inverse weights of a new value in
	// the moving averages.
	latencyWeight = 8
	shareWeight   = 16
	// failureFactor is how many times the usual latency a failure counts at
	// least. Without it a server that fails at once would look fast.
	failureFactor = 4
	firstTrial    = time.Second
	maxTrialWait  = 30 * time.Second
	permille      = 1000
)

// Upstream is the statistics of one upstream.
type Upstream struct {
	latency     time.Duration
	share       int
	samples     int
	consecutive int
	ejected     bool
	trying      bool
	trialAt     time.Duration
	trialWait   time.Duration
	ramping     bool
	rampFrom    time.Duration
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
func (u *Upstream) Latency(usual time.Duration) time.Duration {
	if u.samples == 0 {
		return usual
	}
	return u.latency
}

// Ejected reports whether the upstream gets trial requests only.
func (u *Upstream) Ejected() bool { return u.ejected }

// TrialDue reports whether an ejected upstream should get a trial request.
func (u *Upstream) TrialDue(now time.Duration) bool {
	return u.ejected && !u.trying && now >= u.trialAt
}

// StartTrial notes that a trial request is under way.
func (u *Upstream) StartTrial() { u.trying = true }

// AbandonTrial notes that the trial request ended without a result.
func (u *Upstream) AbandonTrial() { u.trying = false }

// StartWarmUp lets the upstream start with one slot, since a server that has
// just started is slow until it is warm.
func (u *Upstream) StartWarmUp(now time.Duration) {
	u.ramping = true
	u.rampFrom = now
}

// UsableSlots returns how many of its slots an upstream may be given: 1 right after
// BeginRamp, rising to all over the cold-start time.
func (u *Upstream) UsableSlots(now time.Duration, slots int, coldStart time.Duration) int {
	if !u.ramping {
		return slots
	}
	elapsed := now - u.rampFrom
	if elapsed >= coldStart {
		u.ramping = false
		return slots
	}
	return 1 + int(time.Duration(slots-1)*elapsed/coldStart)
}

func (u *Upstream) failing() bool {
	return u.ejected || u.consecutive >= maxConsecutive
}

func (u *Upstream) record(took time.Duration, failed int) {
	if u.samples == 0 {
		u.latency = took
	}
	u.latency += (took - u.latency) / latencyWeight
	u.share += (failed*permille - u.share) / shareWeight
	u.samples++
}
