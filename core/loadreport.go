package core

import (
	"time"

	"wisteriapond/outcome"
)

const (
	// reportLifetime is the age at which a load report becomes stale: servers
	// share their machines, and their speed changes many times a second.
	reportLifetime = 400 * time.Millisecond
	// recentReportAge is the age up to which a load report tells of a free slot. It
	// covers the age up to which a load is not queried again, freshReportAge, and
	// the wait of a request for its load queries, nearQueryWait.
	recentReportAge = freshReportAge + nearQueryWait
	// normalSlowdown is the slowdown, in percent, of a server at its usual
	// speed.
	normalSlowdown = 100
)

// reportedLoad is the last load report of an upstream, with the attempts of this
// host since.
type reportedLoad struct {
	report outcome.LoadReport
	// at is the instant at which the report arrived.
	at Instant
	// startedSince and finishedSince count the attempts of this host since the
	// report.
	startedSince  int
	finishedSince int
}

func (l *reportedLoad) attemptStarted() { l.startedSince++ }

func (l *reportedLoad) attemptEnded() { l.finishedSince++ }

// update stores a load report that came with a response.
func (l *reportedLoad) update(report outcome.LoadReport, now Instant) {
	l.report = report
	l.at = now
	l.startedSince, l.finishedSince = 0, 0
}

// fresh reports whether there is a load report younger than reportLifetime.
func (l *reportedLoad) fresh(now Instant) bool {
	return l.youngerThan(reportLifetime, now)
}

// youngerThan reports whether there is a load report below the given age.
func (l *reportedLoad) youngerThan(age time.Duration, now Instant) bool {
	return l.report.Known && now.Sub(l.at) < age
}

// occupied estimates the number of requests that run or wait at the upstream. Only
// the requests of this host are known without a fresh report.
func (u *upstream) occupied(now Instant) int {
	l := &u.reported
	if !l.fresh(now) {
		return u.running
	}
	return max(u.running, l.report.Running+l.report.Waiting+l.startedSince-l.finishedSince)
}

// slowdown estimates how long requests take on the upstream, in percent of the
// usual time. It returns usual if there is no fresh report of the slowdown.
func (u *upstream) slowdown(now Instant, usual int) int {
	l := &u.reported
	if !l.fresh(now) || l.report.Slowdown <= 0 {
		return usual
	}
	age := now.Sub(l.at)
	// The older the report, the more weight the usual slowdown gets.
	return int((time.Duration(l.report.Slowdown)*(reportLifetime-age) + time.Duration(usual)*age) / reportLifetime)
}
