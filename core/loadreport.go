package core

import (
	"time"

	"wisteriapond/outcome"
)

const (
	// reportLifetime is the age at which a report says nothing about the present any
	// more: servers share their machines, and their speed changes many times a
	// second.
	reportLifetime = 400 * time.Millisecond
	// normalSlowdown is the slowdown, in percent, of a server that works at its
	// usual speed.
	normalSlowdown = 100
)

// reportedLoad is the load that an upstream told, and what this host did since.
type reportedLoad struct {
	report outcome.LoadReport
	at     Instant
	// begun and done count the attempts of this host since the report.
	startedSince  int
	finishedSince int
}

func (t *reportedLoad) attemptStarted() { t.startedSince++ }

func (t *reportedLoad) attemptEnded() { t.finishedSince++ }

// tell takes a report that came with an answer.
func (t *reportedLoad) update(report outcome.LoadReport, now Instant) {
	t.report = report
	t.at = now
	t.startedSince, t.finishedSince = 0, 0
}

// fresh reports whether the report says something about the present.
func (t *reportedLoad) fresh(now Instant) bool {
	return t.report.Known && now.Sub(t.at) < reportLifetime
}

// occupied estimates the number of requests that run or wait at the upstream.
func (u *upstream) occupied(now Instant) int {
	t := &u.told
	if !t.fresh(now) {
		return u.running
	}
	return max(u.running, t.report.Running+t.report.Waiting+t.startedSince-t.finishedSince)
}

// slowdown returns how long work takes on the upstream, in percent of the usual
// time. The usual one stands in for a report that is too old.
func (u *upstream) slowdown(now Instant, usual int) int {
	t := &u.told
	if !t.fresh(now) || t.report.Slowdown <= 0 {
		return usual
	}
	age := now.Sub(t.at)
	// The older the report, the more the usual slowdown counts.
	return int((time.Duration(t.report.Slowdown)*(reportLifetime-age) + time.Duration(usual)*age) / reportLifetime)
}
