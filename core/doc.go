// Package core is the reducer of an entry host. State.Step takes every event
// of the process and appends the effects that follow from it. All decisions
// are made here: routing, picking, queueing, limits, retries, drain,
// membership, configuration, probes, readiness and shutdown.
//
// The package is pure: it reads no clock, holds no lock, starts no goroutine
// and does no I/O. Time comes with each event. The same events give the same
// effects on any machine, which is what makes a recorded log replayable.
//
// Where the rules stand:
//
//	state.go, event.go, effect.go    the reducer, its inputs and results
//	message.go                       messages between entry hosts
//	request.go, ending.go            the life of a request, at most one run
//	retry.go                         what follows an attempt, retry budgets
//	queueing.go, group.go            waiting for a slot, refusals in time
//	service.go, traffic.go           services, upstreams, timers
//	trail.go                         log lines of requests
//	transfer.go                      pacing of long answers between regions
//	stop.go, pauses.go, startup.go   planned stop, paused process, readiness
//	status.go, explain.go            reports for operators
//
// With a store that is read only:
//
//	store.go                         calls to the store, backoff
//	registry.go                      registered servers, routing in force
//	propagation.go, neighbours.go    updates from other entry hosts, the reader
//	polls.go, reversepoll.go         polls of other hosts, relaying to the reader
//	routing.go                       routes and splits
//	loadquery.go, loadreport.go      load queries and reports of upstreams
//	placement.go                     latency against transfer costs
//
// With a configuration service and a host list:
//
//	configuration.go, documents.go   versions, parts, what peers have
//	hosts.go                         leaving marks
//	coordination.go, peers.go        members, messages to peers
//	leases.go, ownership.go          slot leases and their owners
//	picking.go                       choice among free slots
//	probes.go                        the measuring budget
package core
