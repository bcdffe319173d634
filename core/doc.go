// Package core is the reducer of an entry host. State.Step applies every event
// of the process and appends the resulting effects. All decisions are made
// here: routing, upstream selection, queueing, limits, retries, draining,
// membership, configuration, probes, readiness and shutdown.
//
// The package is pure: it reads no clock, holds no lock, starts no goroutine
// and does no I/O. Time is passed in with each event. The same sequence of
// events yields the same effects on any machine, so that a recorded event log
// can be replayed.
//
// Contents of the files:
//
//	state.go, event.go, effect.go    the reducer, its events and effects
//	message.go                       messages between entry hosts
//	request.go, completion.go        request life cycle, at most one run
//	retry.go                         retry decisions, budgets and results
//	queueing.go, group.go            waiting for a slot, early refusals
//	service.go, traffic.go           services, upstreams, timers
//	requestlog.go                    log entries of requests
//	transfer.go                      pacing of long responses between regions
//	stop.go, pauses.go, startup.go   planned stop, process pauses, readiness
//	status.go, explain.go            reports for operators
//
// With a store that is read only:
//
//	store.go                         when it is called
//	registry.go                      what is believed of servers and routes
//	news.go, neighbours.go           which host reads it for the others
//	telling.go, feeding.go           what hosts tell each other of it
//	routing.go                       routes and splits
//	asking.go, told.go               loads that upstreams tell
//	placing.go                       time against bytes
//
// With a configuration service and a host list:
//
//	configuration.go, documents.go   versions, parts, what peers have
//	hosts.go                         leaving marks
//	coordination.go, peers.go        members, messages to peers
//	leases.go, view.go               slot leases and their owners
//	picking.go                       choice among free slots
//	probes.go                        the measuring budget
package core
