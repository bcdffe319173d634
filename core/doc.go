// Package core is the reducer of an entry host. State.Step takes every event
// of the process and appends the effects that follow from it. All decisions
// are made here: routing, picking, queueing, limits, retries, drain,
// membership, configuration, probes, readiness and shutdown.
//
// The package is pure: it reads no clock, holds no lock, starts no goroutine
// and does no I/O. Time comes with each event. The same events give the same
// effects on any machine, which is what makes a recorded log replayable.
package core
