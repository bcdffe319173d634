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
//	queueing.go, group.go            waiting for a slot, eligible upstreams
//	emptieddomains.go                failure domains without new work
//	service.go, traffic.go           services, upstreams, timers
//	connections.go                   share in the connections of an upstream
//	counter.go, time.go, random.go   metrics, instants, random numbers
//	requestlog.go                    log entries of requests
//	transfer.go                      pacing of long responses between regions
//	stop.go, pauses.go, startup.go   planned stop, process pauses, readiness
//	callers.go                       what callers hold, whose connections close
//	status.go, explain.go            reports for operators
//
// With a store that is read only:
//
//	store.go                         calls to the store, backoff
//	storeera.go, withheldservers.go  a store that comes back from a copy
//	registry.go, serverlog.go        registered servers, routing in force
//	leavingservers.go, hints.go      what servers say of themselves
//	emptieddomains.go                failure domains that get nothing new
//	fleetsize.go                     how many entry hosts there are
//	earlyrequests.go                 requests before the first configuration
//	propagation.go, neighbours.go    updates from other entry hosts, the reader
//	polls.go, reversepoll.go         polls of other hosts, relaying to the reader
//	routing.go, routeregions.go      routes, splits, regions of routes
//	loadquery.go, loadreport.go      load queries and reports of upstreams
//	placement.go                     latency against transfer costs
//	coldservers.go                   what cold servers bear
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
