package core

import (
	"time"

	"wisteriapond/outcome"
)

const (
	// toldLife is the age at which a report says nothing about the present any
	// more: servers share their machines, and their speed changes many times a
	// second.
	toldLife = 400 * time.Millisecond
	// usualSlowdown is the slowdown, in percent, of a server that works at its
	// usual speed.
	usualSlowdown = 100
)

// toldLoad is the load that an upstream told, and what this host did since.
type toldLoad struct {
	report outcome.LoadReport
	at     Instant
	// begun and done count the attempts of this host since the report.
	begun int
	done  int
}

func (t *toldLoad) started() { t.begun++ }

func (t *toldLoad) ended() { t.done++ }

// tell takes a report that came with an answer.
func (t *toldLoad) tell(report outcome.LoadReport, now Instant) {
	t.report = report
	t.at = now
	t.begun, t.done = 0, 0
}

// fresh reports whether the report says something about the present.
func (t *toldLoad) fresh(now Instant) bool {
	return t.report.Known && now.Sub(t.at) < toldLife
}

// occupied estimates the number of requests that run or wait at the upstream.
func (u *upstream) occupied(now Instant) int {
	t := &u.reported
	if !t.fresh(now) {
		return u.running
	}
	return max(u.running, t.report.Running+t.report.Waiting+t.begun-t.done)
}

// slowdown returns how long work takes on the upstream, in percent of the usual
// time. The usual one stands in for a report that is too old.
func (u *upstream) slowdown(now Instant, usual int) int {
	t := &u.reported
	if !t.fresh(now) || t.report.Slowdown <= 0 {
		return usual
	}
	age := now.Sub(t.at)
	// The older the report, the more the usual slowdown counts.
	return int((time.Duration(t.report.Slowdown)*(toldLife-age) + time.Duration(usual)*age) / toldLife)
}
