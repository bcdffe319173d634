package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/config"
)

const (
	// propagationBound is the time within which every host must have applied a
	// change of the store. The bound holds for a change before which there was no
	// disturbance for quietPeriod.
	propagationBound = 2 * time.Second
	quietPeriod      = 2 * time.Second
	// fleetSeeds is the number of seeds. Each runs for two minutes of virtual time.
	fleetSeeds = 24
	// fleetStep is the resolution of the virtual clock.
	fleetStep = 5 * time.Millisecond
	// storeDelay is the delay of responses of the store, and hostDelay the one-way
	// delay between hosts.
	storeDelay = 5 * time.Millisecond
	hostDelay  = 10 * time.Millisecond
	// maxSlowDelay bounds the delay of responses of a slow store. It exceeds the time
	// in which another host responds.
	maxSlowDelay = 80 * time.Millisecond
	// staleListingAge and slowStaleListingAge are the age of a stale listing, of the
	// store and of a slow one.
	staleListingAge     = time.Second
	slowStaleListingAge = 3 * time.Second
	// pollTimeoutSlack is the time beyond its wait after which a poll fails.
	pollTimeoutSlack = 400 * time.Millisecond
	// storeCallTimeout is the time beyond its wait after which a call to the store fails.
	storeCallTimeout = 2 * time.Second
)

// regressionSeeds holds the seeds beyond fleetSeeds that have failed before,
// with the cause.
var regressionSeeds = map[uint64]string{
	43:  "with a slow store, a host propagates servers that are pending removal, and its receiver gets their removals from nobody",
	278: "the store rejects two successive readers, and each gets updates from the next host only when its own are stale",
}

// storeFleet simulates several reducers that share a store and poll each other,
// on a virtual clock. The store rejects hosts, discards its history and is down or silent
// at times; hosts are killed and started again.
type storeFleet struct {
	now    Instant
	random *rand.Rand
	hosts  []*storeHost
	due    []fleetEvent
	calls  int

	revision uint64
	changes  []fleetChange
	servers  map[string]Server
	// historyStart is the first revision after which the store still has all changes.
	historyStart uint64
	down         bool
	// silent is set while the store swallows calls, also those that are pending when
	// it falls silent.
	silent       bool
	nextID       uint64
	pendingPolls map[uint64]fleetPoll
	// lastDisturbance is the instant of the last disturbance, and registrations counts
	// the servers registered so far.
	lastDisturbance Instant
	registrations   int
	// delays draws the delays of the responses of a slow store, nil for a store
	// with storeDelay.
	delays *rand.Rand
}

// storeHost is an entry host of a store fleet, with its pending watches.
type storeHost struct {
	name     string
	domain   string
	state    *State
	run      int
	stopped  bool
	rejected bool
	watches  []fleetWatch
	wakeAt   Instant
	lastTick Instant
}

// fleetWatch is a pending watch. The store responds at until if there are no changes.
type fleetWatch struct {
	WatchStore
	until Instant
}

// fleetEvent is an event that reaches a run of a host at an instant. If pollID is set,
// it is the failure of that poll, and is dropped if the poll has got a response.
type fleetEvent struct {
	at     Instant
	host   *storeHost
	run    int
	event  Event
	pollID uint64
}

// fleetPoll is a pending poll of a run of a host.
type fleetPoll struct {
	from *storeHost
	run  int
	poll AskNews
}

// fleetChange is a change of the store: of a server, of a failure domain if domain is
// set, or of the routing if that is set. checked is set once its propagation has been checked, or did not need to be.
type fleetChange struct {
	revision uint64
	at       Instant
	change   ServerChange
	domain   *DomainMark
	routing  *config.Routing
	checked  bool
}

// newStoreFleet returns a started fleet with the given number of hosts in each of three
// failure domains.
func newStoreFleet(seed uint64, perDomain int) *storeFleet {
	f := &storeFleet{
		random: rand.New(rand.NewPCG(seed, 7)), servers: make(map[string]Server), pendingPolls: make(map[uint64]fleetPoll), revision: 1,
	}
	for range 4 {
		f.changeServers()
	}
	for _, domain := range []string{"mtl-a", "mtl-b", "qc-a"} {
		for i := range perDomain {
			f.hosts = append(f.hosts, &storeHost{name: fmt.Sprintf("%s-%d", domain, i), domain: domain})
		}
	}
	for _, h := range f.hosts {
		f.start(h, true)
	}
	return f
}

// start starts a new run of a host. first is set at the first start of the deployment.
func (f *storeFleet) start(h *storeHost, first bool) {
	h.run++
	h.stopped, h.watches, h.wakeAt, h.lastTick = false, nil, 0, f.now
	h.state = New()
	registry := registrySettings()
	registry.Address, registry.FirstStart = h.name, first
	registry.Seeds = []string{f.seeds()[0].name, f.seeds()[1].name}
	f.step(h, Start{Host: h.name, Region: "mtl", FailureDomain: h.domain, Seed: f.random.Uint64(), Registry: registry})
}

// step applies an event to the reducer of a host and carries out its effects.
func (f *storeFleet) step(h *storeHost, event Event) {
	var out Effects
	h.state.Step(f.now, event, &out)
	for _, effect := range out.All() {
		switch e := effect.(type) {
		case WakeAt:
			if h.wakeAt <= f.now || e.At < h.wakeAt {
				h.wakeAt = e.At
			}
		case ListStore:
			f.list(h, e)
		case WatchStore:
			f.calls++
			h.watches = append(h.watches, fleetWatch{WatchStore: e, until: f.now.Add(e.Wait)})
		case AskNews:
			f.poll(h, e)
		case AnswerNews:
			pending, open := f.pendingPolls[e.ID]
			if !open {
				continue
			}
			delete(f.pendingPolls, e.ID)
			f.send(hostDelay, pending.from, pending.run, NewsAnswered{Address: h.name, Aside: pending.poll.Aside, Answer: e.Answer})
		}
	}
}

// send delivers an event to a run of a host after the given time.
func (f *storeFleet) send(after time.Duration, to *storeHost, run int, event Event) {
	f.due = append(f.due, fleetEvent{at: f.now.Add(after), host: to, run: run, event: event})
}

// poll delivers a poll to its host, and its failure to the sender if there is no
// response in time.
func (f *storeFleet) poll(from *storeHost, poll AskNews) {
	f.nextID++
	f.pendingPolls[f.nextID] = fleetPoll{from: from, run: from.run, poll: poll}
	f.due = append(f.due, fleetEvent{
		at: f.now.Add(poll.Ask.Wait + pollTimeoutSlack), host: from, run: from.run, pollID: f.nextID,
		event: NewsAnswered{Address: poll.Address, Aside: poll.Aside, Failed: true},
	})
	if to := f.hostNamed(poll.Address); to != nil && !to.stopped {
		f.send(hostDelay, to, to.run, NewsAsked{ID: f.nextID, Ask: poll.Ask})
	}
}

// storeDelay returns the delay of the next response of the store.
func (f *storeFleet) storeDelay() time.Duration {
	if f.delays == nil {
		return storeDelay
	}
	return storeDelay + time.Duration(f.delays.Int64N(int64(maxSlowDelay-storeDelay)))
}

func (f *storeFleet) hostNamed(name string) *storeHost {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// list responds with the contents of the store, or with earlier ones if the host accepts
// a stale listing.
func (f *storeFleet) list(h *storeHost, e ListStore) {
	f.calls++
	age := staleListingAge
	if f.delays != nil {
		age = slowStaleListingAge
	}
	if f.silent {
		f.send(storeCallTimeout, h, h.run, StoreFailed{Call: e.Call, Reason: "timeout"})
		return
	}
	if f.down || h.rejected {
		f.send(f.storeDelay(), h, h.run, StoreFailed{Call: e.Call, Reason: "refused"})
		return
	}
	listed := StoreListed{Call: e.Call, Revision: f.revision, Stale: e.Stale, Routing: routing(1)}
	servers := make(map[string]ServerChange)
	domains := make(map[string]DomainMark)
	for _, c := range f.changes {
		if e.Stale && f.now.Sub(c.at) < age && c.at > 0 {
			listed.Revision = min(listed.Revision, c.revision-1)
			continue
		}
		if c.domain != nil {
			domains[c.domain.Domain] = *c.domain
			continue
		}
		if c.routing != nil {
			listed.Routing = c.routing
			continue
		}
		if delete(servers, c.change.ID); c.change.Server != nil {
			servers[c.change.ID] = c.change
		}
	}
	for _, name := range sortedKeys(domains) {
		if domains[name].Emptied {
			listed.Domains = append(listed.Domains, domains[name])
		}
	}
	for _, id := range sortedKeys(servers) {
		listed.Servers = append(listed.Servers, servers[id])
	}
	f.send(f.storeDelay(), h, h.run, listed)
}

// respondToWatches responds to the watches of a host for which there are changes, whose
// wait is over, or which the store does not serve.
func (f *storeFleet) respondToWatches(h *storeHost) {
	h.watches = slices.DeleteFunc(h.watches, func(watch fleetWatch) bool { return f.respondToWatch(h, &watch) })
}

// respondToWatch responds to a watch, and reports whether it has ended.
func (f *storeFleet) respondToWatch(h *storeHost, watch *fleetWatch) bool {
	var changed []ServerChange
	var domains []DomainMark
	var newest *config.Routing
	for _, c := range f.changes {
		switch {
		case c.revision <= watch.After:
		case c.domain != nil:
			domains = append(domains, *c.domain)
		case c.routing != nil:
			newest = c.routing
		default:
			changed = append(changed, c.change)
		}
	}
	switch {
	case f.silent:
		f.send(watch.until.Sub(f.now)+storeCallTimeout, h, h.run, StoreFailed{Call: watch.Call, Reason: "timeout"})
	case f.down || h.rejected:
		f.send(f.storeDelay(), h, h.run, StoreFailed{Call: watch.Call, Reason: "refused"})
	case watch.After < f.historyStart:
		f.send(f.storeDelay(), h, h.run, StoreFailed{Call: watch.Call, HistoryGone: true})
	case len(changed)+len(domains) > 0 || newest != nil || !f.now.Before(watch.until):
		f.send(f.storeDelay(), h, h.run, StoreChanged{Call: watch.Call, Revision: f.revision, Routing: newest, Servers: changed, Domains: domains})
	default:
		return false
	}
	return true
}

// changeServers registers a server, marks one as leaving, or removes one.
func (f *storeFleet) changeServers() {
	f.revision++
	change := ServerChange{}
	ids := sortedKeys(f.servers)
	switch kind := f.random.IntN(3); {
	case kind == 0 || len(ids) < 3:
		f.registrations++
		change.ID = fmt.Sprint("s", f.registrations)
		change.Server = new(storeServer(change.ID, "read", "mtl-a"))
	case kind == 1:
		change.ID = ids[f.random.IntN(len(ids))]
		server := f.servers[change.ID]
		server.Leaving = true
		change.Server = &server
	default:
		change.ID = ids[f.random.IntN(len(ids))]
	}
	if delete(f.servers, change.ID); change.Server != nil {
		f.servers[change.ID] = *change.Server
	}
	f.changes = append(f.changes, fleetChange{revision: f.revision, at: f.now, change: change})
}

// disturb causes one random disturbance of the store or of hosts, and records
// when.
func (f *storeFleet) disturb() {
	f.lastDisturbance = f.now
	switch f.random.IntN(5) {
	case 0:
		f.down = !f.down
	case 1:
		f.historyStart = f.revision
	case 2:
		for _, h := range f.hosts {
			h.rejected = f.random.IntN(2) == 0
		}
	case 3:
		for _, h := range f.hosts {
			h.rejected = false
		}
	default:
		f.restart(f.hosts[f.random.IntN(len(f.hosts))])
	}
	f.ensureOneServed()
}

// restart kills or starts a host. One of the two seeds keeps running: a host
// that the store rejects and that knows no seed has no host to poll.
func (f *storeFleet) restart(h *storeHost) {
	other := f.seeds()[0]
	if other == h {
		other = f.seeds()[1]
	}
	if slices.Contains(f.seeds(), h) && other.stopped {
		h = other
	}
	if h.stopped || f.random.IntN(2) == 0 {
		f.start(h, false)
		return
	}
	h.stopped = true
}

// ensureOneServed makes the store serve at least one running host.
func (f *storeFleet) ensureOneServed() {
	served := func(h *storeHost) bool { return !h.stopped && !h.rejected }
	for !slices.ContainsFunc(f.hosts, served) {
		f.hosts[f.random.IntN(len(f.hosts))].rejected = false
	}
}

// seeds returns the two seeds, one in the first and one in the second half of the hosts.
func (f *storeFleet) seeds() []*storeHost { return []*storeHost{f.hosts[0], f.hosts[len(f.hosts)/2]} }

// run runs the fleet for the given time with random changes and disturbances.
func (f *storeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(fleetStep) {
		if f.random.IntN(100) == 0 {
			f.changeServers()
		}
		if f.now.Sub(f.lastDisturbance) > 3*quietPeriod && f.random.IntN(200) == 0 {
			f.disturb()
		}
		f.deliver()
		for _, h := range f.hosts {
			if !h.stopped {
				f.respondToWatches(h)
				f.tick(h)
			}
		}
		f.checkPropagation()
	}
}

// deliver delivers the events that are due.
func (f *storeFleet) deliver() {
	var ready []fleetEvent
	f.due = slices.DeleteFunc(f.due, func(e fleetEvent) bool {
		if e.at <= f.now {
			ready = append(ready, e)
		}
		return e.at <= f.now
	})
	for _, e := range ready {
		if _, open := f.pendingPolls[e.pollID]; e.pollID > 0 && !open {
			continue
		}
		delete(f.pendingPolls, e.pollID)
		if !e.host.stopped && e.host.run == e.run {
			f.step(e.host, e.event)
		}
	}
}

// tick ticks a host once TickInterval or the requested wake-up time has passed.
func (f *storeFleet) tick(h *storeHost) {
	if f.now.Sub(h.lastTick) >= TickInterval || h.wakeAt > 0 && f.now >= h.wakeAt {
		h.lastTick, h.wakeAt = f.now, 0
		f.step(h, Tick{})
	}
}

// checkPropagation checks every host once a change should be in force. Only
// changes in quiet periods count: the bound holds for hosts without a recent
// disturbance.
func (f *storeFleet) checkPropagation() {
	for i := range f.changes {
		c := &f.changes[i]
		if c.checked || f.now.Sub(c.at) < propagationBound {
			continue
		}
		c.checked = true
		if f.down || c.at.Sub(f.lastDisturbance) < quietPeriod || c.at == 0 {
			continue
		}
		for _, h := range f.hosts {
			if !h.stopped {
				Expect(h.state.registry.revision).To(BeNumerically(">=", c.revision),
					"%s (rejected: %v) has not applied the change of %v at %v", h.name, h.rejected, time.Duration(c.at), time.Duration(f.now))
				if c.change.Server == nil || c.change.Server.Leaving {
					server, known := h.state.registry.servers[c.change.ID]
					Expect(known && !server.Leaving).To(BeFalse(), "%s uses %s again at %v, which left at %v",
						h.name, c.change.ID, time.Duration(f.now), time.Duration(c.at))
				}
			}
		}
	}
}

// settle ends all disturbances, and compares the servers of all hosts with the
// store after three quiet periods without changes.
func (f *storeFleet) settle() {
	f.down, f.historyStart = false, 0
	for _, h := range f.hosts {
		h.rejected = false
		if h.stopped {
			f.start(h, false)
		}
	}
	for end := f.now.Add(3 * quietPeriod); f.now < end; f.now = f.now.Add(fleetStep) {
		f.deliver()
		for _, h := range f.hosts {
			f.respondToWatches(h)
			f.tick(h)
		}
	}
	for _, h := range f.hosts {
		Expect(sortedKeys(h.state.registry.servers)).To(Equal(sortedKeys(f.servers)), h.name)
	}
}

// Guards against changes that some hosts apply late or never while the store
// serves others: every running host must apply them in time.
var _ = ginkgo.Describe("a fleet that shares a store", func() {
	seeds := slices.Sorted(maps.Keys(regressionSeeds))
	for seed := range uint64(fleetSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		ginkgo.It(fmt.Sprintf("applies every change in time, seed %d", seed), func() {
			f := newStoreFleet(seed, 2+int(seed%2))
			f.run(2 * time.Minute)
			f.settle()
		})
		ginkgo.It(fmt.Sprintf("applies every change of a slow store in time, seed %d", seed), func() {
			f := newStoreFleet(seed, 2+int(seed%2))
			f.delays = rand.New(rand.NewPCG(seed, 11))
			f.run(2 * time.Minute)
			f.settle()
		})
	}

	// Guards against store calls that grow with the number of hosts when the
	// store rejects the highest-ranked one.
	ginkgo.It("calls the store about as often with more hosts", func() {
		calls := func(perDomain int) int {
			f := newStoreFleet(1, perDomain)
			for _, h := range f.hosts {
				h.rejected = h == f.hosts[0]
			}
			f.lastDisturbance = Instant(time.Hour)
			f.run(time.Minute)
			return f.calls
		}
		few, many := calls(3), calls(12)
		Expect(many).To(BeNumerically("<=", 2*few))
	})
})
