package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// inForce is the time in which a change of the store has to be known, and
	// calm that for which nothing else may have happened before it.
	inForce = 2 * time.Second
	calm    = 2 * time.Second
	// fleetSeeds is the number of runs of two minutes.
	fleetSeeds = 24
	// fleetStep is the resolution of the virtual clock.
	fleetStep = 5 * time.Millisecond
	storeTrip = 5 * time.Millisecond
	hostTrip  = 10 * time.Millisecond
	// askSlack is the time beyond its wait after which a question has failed.
	askSlack = 400 * time.Millisecond
)

// failedOnce holds the seeds beyond fleetSeeds that ever failed, with the cause.
var failedOnce = map[uint64]string{
	278: "two readers in a row are turned away, each fed by the next only when its news are old",
}

// storeFleet plays several reducers that share a store and talk to each other,
// on a clock of its own. The store turns hosts away, forgets its history and is
// down at times, hosts are killed and started again.
type storeFleet struct {
	now    Instant
	random *rand.Rand
	hosts  []*storeHost
	due    []fleetEvent
	calls  int

	revision  uint64
	changes   []fleetChange
	servers   map[string]Server
	forgotten uint64
	down      bool
	nextID    uint64
	asks      map[uint64]fleetAsk
	// disturbed is the instant of the last disturbance, and births counts the
	// servers so far.
	disturbed Instant
	births    int
}

type storeHost struct {
	name    string
	domain  string
	state   *State
	run     int
	off     bool
	refused bool
	watch   *WatchStore
	until   Instant
	wakeAt  Instant
	ticked  Instant
}

// fleetEvent reaches a run of a host at an instant. With unanswered set it is
// the failure of a question that has no answer by then.
type fleetEvent struct {
	at         Instant
	host       *storeHost
	run        int
	event      Event
	unanswered uint64
}

type fleetAsk struct {
	from *storeHost
	run  int
	ask  AskNews
}

type fleetChange struct {
	revision uint64
	at       Instant
	change   ServerChange
	checked  bool
}

func newStoreFleet(seed uint64, perDomain int) *storeFleet {
	f := &storeFleet{
		random: rand.New(rand.NewPCG(seed, 7)), servers: make(map[string]Server), asks: make(map[uint64]fleetAsk), revision: 1,
	}
	for range 4 {
		f.changeStore()
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

func (f *storeFleet) start(h *storeHost, first bool) {
	h.run++
	h.off, h.watch, h.wakeAt, h.ticked = false, nil, 0, f.now
	h.state = New()
	registry := registrySettings()
	registry.Address, registry.FirstStart = h.name, first
	registry.Seeds = []string{f.seeds()[0].name, f.seeds()[1].name}
	f.step(h, Start{Host: h.name, Region: "mtl", FailureDomain: h.domain, Seed: f.random.Uint64(), Registry: registry})
}

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
			h.watch, h.until = &e, f.now.Add(e.Wait)
		case AskNews:
			f.ask(h, e)
		case AnswerNews:
			asked, open := f.asks[e.ID]
			if !open {
				continue
			}
			delete(f.asks, e.ID)
			f.send(hostTrip, asked.from, asked.run, NewsAnswered{Address: h.name, Aside: asked.ask.Aside, Answer: e.Answer})
		}
	}
}

func (f *storeFleet) send(after time.Duration, to *storeHost, run int, event Event) {
	f.due = append(f.due, fleetEvent{at: f.now.Add(after), host: to, run: run, event: event})
}

func (f *storeFleet) ask(from *storeHost, ask AskNews) {
	f.nextID++
	f.asks[f.nextID] = fleetAsk{from: from, run: from.run, ask: ask}
	f.due = append(f.due, fleetEvent{
		at: f.now.Add(ask.Ask.Wait + askSlack), host: from, run: from.run, unanswered: f.nextID,
		event: NewsAnswered{Address: ask.Address, Aside: ask.Aside, Failed: true},
	})
	if to := f.named(ask.Address); to != nil && !to.off {
		f.send(hostTrip, to, to.run, NewsAsked{ID: f.nextID, Ask: ask.Ask})
	}
}

func (f *storeFleet) named(name string) *storeHost {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// list answers with what the store holds, or held a second ago.
func (f *storeFleet) list(h *storeHost, e ListStore) {
	f.calls++
	if f.down || h.refused {
		f.send(storeTrip, h, h.run, StoreFailed{Reason: "refused"})
		return
	}
	listed := StoreListed{Revision: f.revision, Stale: e.Stale, Routing: routing(1)}
	servers := make(map[string]Server)
	for _, c := range f.changes {
		if e.Stale && f.now.Sub(c.at) < time.Second && c.at > 0 {
			listed.Revision = min(listed.Revision, c.revision-1)
			continue
		}
		if delete(servers, c.change.ID); c.change.Server != nil {
			servers[c.change.ID] = *c.change.Server
		}
	}
	for _, id := range sortedKeys(servers) {
		listed.Servers = append(listed.Servers, ServerChange{ID: id, Server: new(servers[id])})
	}
	f.send(storeTrip, h, h.run, listed)
}

// answerWatch answers the watch of a host when there is something to tell.
func (f *storeFleet) answerWatch(h *storeHost) {
	if h.watch == nil {
		return
	}
	var event Event
	var changed []ServerChange
	for _, c := range f.changes {
		if c.revision > h.watch.After {
			changed = append(changed, c.change)
		}
	}
	switch {
	case f.down || h.refused:
		event = StoreFailed{Reason: "refused"}
	case h.watch.After < f.forgotten:
		event = StoreFailed{HistoryGone: true}
	case len(changed) > 0 || !f.now.Before(h.until):
		event = StoreChanged{Revision: f.revision, Servers: changed}
	default:
		return
	}
	h.watch = nil
	f.send(storeTrip, h, h.run, event)
}

// changeStore registers a server, lets one leave, or removes one.
func (f *storeFleet) changeStore() {
	f.revision++
	change := ServerChange{}
	ids := sortedKeys(f.servers)
	switch kind := f.random.IntN(3); {
	case kind == 0 || len(ids) < 3:
		f.births++
		change.ID = fmt.Sprint("s", f.births)
		change.Server = new(simulatedHost(change.ID, "read", "mtl-a"))
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

// disturb does one thing to the store or to hosts, and notes when.
func (f *storeFleet) disturb() {
	f.disturbed = f.now
	switch f.random.IntN(5) {
	case 0:
		f.down = !f.down
	case 1:
		f.forgotten = f.revision
	case 2:
		for _, h := range f.hosts {
			h.refused = f.random.IntN(2) == 0
		}
	case 3:
		for _, h := range f.hosts {
			h.refused = false
		}
	default:
		f.restart(f.hosts[f.random.IntN(len(f.hosts))])
	}
	f.serveOne()
}

// restart ends or starts a host. One of the two seeds stays: a host that the
// store turns away and that knows no seed has nobody to ask.
func (f *storeFleet) restart(h *storeHost) {
	other := f.seeds()[0]
	if other == h {
		other = f.seeds()[1]
	}
	if slices.Contains(f.seeds(), h) && other.off {
		h = other
	}
	if h.off || f.random.IntN(2) == 0 {
		f.start(h, false)
		return
	}
	h.off = true
}

// serveOne makes sure that the store serves a host that runs.
func (f *storeFleet) serveOne() {
	served := func(h *storeHost) bool { return !h.off && !h.refused }
	for !slices.ContainsFunc(f.hosts, served) {
		f.hosts[f.random.IntN(len(f.hosts))].refused = false
	}
}

func (f *storeFleet) seeds() []*storeHost { return []*storeHost{f.hosts[0], f.hosts[len(f.hosts)/2]} }

func (f *storeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(fleetStep) {
		if f.random.IntN(100) == 0 {
			f.changeStore()
		}
		if f.now.Sub(f.disturbed) > 3*calm && f.random.IntN(200) == 0 {
			f.disturb()
		}
		f.deliver()
		for _, h := range f.hosts {
			if !h.off {
				f.answerWatch(h)
				f.tick(h)
			}
		}
		f.check()
	}
}

func (f *storeFleet) deliver() {
	var ready []fleetEvent
	f.due = slices.DeleteFunc(f.due, func(e fleetEvent) bool {
		if e.at <= f.now {
			ready = append(ready, e)
		}
		return e.at <= f.now
	})
	for _, e := range ready {
		if _, open := f.asks[e.unanswered]; e.unanswered > 0 && !open {
			continue
		}
		delete(f.asks, e.unanswered)
		if !e.host.off && e.host.run == e.run {
			f.step(e.host, e.event)
		}
	}
}

func (f *storeFleet) tick(h *storeHost) {
	if f.now.Sub(h.ticked) >= TickInterval || h.wakeAt > 0 && f.now >= h.wakeAt {
		h.ticked, h.wakeAt = f.now, 0
		f.step(h, Tick{})
	}
}

// check looks at every host once a change should be in force. Only calm times
// count: bounds hold for hosts without a disturbance lately.
func (f *storeFleet) check() {
	for i := range f.changes {
		c := &f.changes[i]
		if c.checked || f.now.Sub(c.at) < inForce {
			continue
		}
		c.checked = true
		if f.down || c.at.Sub(f.disturbed) < calm || c.at == 0 {
			continue
		}
		for _, h := range f.hosts {
			if !h.off {
				Expect(h.state.registry.revision).To(BeNumerically(">=", c.revision),
					"%s (refused: %v) does not know the change of %v at %v", h.name, h.refused, time.Duration(c.at), time.Duration(f.now))
			}
		}
	}
}

// settle ends all disturbances, and compares what hosts hold with the store
// after a calm time without changes.
func (f *storeFleet) settle() {
	f.down, f.forgotten = false, 0
	for _, h := range f.hosts {
		h.refused = false
		if h.off {
			f.start(h, false)
		}
	}
	for end := f.now.Add(3 * calm); f.now < end; f.now = f.now.Add(fleetStep) {
		f.deliver()
		for _, h := range f.hosts {
			f.answerWatch(h)
			f.tick(h)
		}
	}
	for _, h := range f.hosts {
		Expect(sortedKeys(h.state.registry.servers)).To(Equal(sortedKeys(f.servers)), h.name)
	}
}

// Guards against changes that some hosts learn late, or never, while the store
// serves others: every host that runs must know them in time.
var _ = ginkgo.Describe("a fleet that shares a store", func() {
	seeds := slices.Sorted(maps.Keys(failedOnce))
	for seed := range uint64(fleetSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		ginkgo.It(fmt.Sprintf("knows every change in time, seed %d", seed), func() {
			f := newStoreFleet(seed, 2+int(seed%2))
			f.run(2 * time.Minute)
			f.settle()
		})
	}

	// Guards against calls that grow with the number of hosts, when the first of
	// them is turned away.
	ginkgo.It("calls the store about as often with more hosts", func() {
		calls := func(perDomain int) int {
			f := newStoreFleet(1, perDomain)
			for _, h := range f.hosts {
				h.refused = h == f.hosts[0]
			}
			f.disturbed = Instant(time.Hour)
			f.run(time.Minute)
			return f.calls
		}
		few, many := calls(3), calls(12)
		Expect(many).To(BeNumerically("<=", 2*few))
	})
})
