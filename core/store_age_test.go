package core

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/storeage"
)

const (
	// maxReadAge bounds the age of a stale read.
	maxReadAge = 3 * time.Second
	// ageStep is the resolution of the virtual clock, and ageCallTimeout the time after
	// which a call of the store fails.
	ageStep        = 20 * time.Millisecond
	ageCallTimeout = 2 * time.Second
)

// agedWrite is a write of an agedStore: an entry, or a version of the routing.
type agedWrite struct {
	revision uint64
	change   ServerChange
	routing  uint64
}

// agedView is the contents of an agedStore from an instant on.
type agedView struct {
	at     Instant
	era    uint64
	writes []agedWrite
}

// revision returns the revision of the view. A store starts with revision 1.
func (v *agedView) revision() uint64 {
	if len(v.writes) == 0 {
		return 1
	}
	return v.writes[len(v.writes)-1].revision
}

// entries returns the last write of each entry that exists, and the last version of
// the routing.
func (v *agedView) entries() (map[string]ServerChange, uint64) {
	entries := make(map[string]ServerChange)
	version := uint64(1)
	for _, w := range v.writes {
		if w.routing > 0 {
			version = w.routing
		} else if delete(entries, w.change.ID); w.change.Server != nil {
			entries[w.change.ID] = w.change
		}
	}
	return entries, version
}

// agedStore is a store whose every read may be of another age.
type agedStore struct {
	views []agedView
	// wanted is what the writers last wrote, also if the store has lost it since, and
	// born the start of the latest instance of each server.
	wanted  map[string]*Server
	born    map[string]uint64
	version uint64
	// historyStart is the revision up to which changes were discarded.
	historyStart uint64
	sequence     uint64
	// copied holds the revision of the copy with which each era began, and lost the
	// entries whose writes were lost, with the instant at which they are written again.
	copied map[uint64]uint64
	lost   map[string]Instant
}

func (s *agedStore) current() *agedView { return &s.views[len(s.views)-1] }

// before returns the contents as they were at an instant.
func (s *agedStore) before(at Instant) *agedView {
	for i := len(s.views) - 1; i > 0; i-- {
		if s.views[i].at <= at {
			return &s.views[i]
		}
	}
	return &s.views[0]
}

func (s *agedStore) write(now Instant, w agedWrite) {
	view := *s.current()
	w.revision = view.revision() + 1
	w.change.Revision = w.revision
	view.at, view.writes = now, append(slices.Clip(view.writes), w)
	s.views = append(s.views, view)
}

// writeServer writes or removes the entry of a server.
func (s *agedStore) writeServer(now Instant, id string, server *Server) {
	s.wanted[id] = server
	s.write(now, agedWrite{change: ServerChange{ID: id, Server: server}})
}

func (s *agedStore) publish(now Instant) { s.write(now, agedWrite{routing: s.version}) }

// restore makes the store continue from a copy of an earlier time in the next era.
// lostUntil draws the instant at which a lost entry is written again.
func (s *agedStore) restore(now, from Instant, lostUntil func() Instant) {
	view := *s.before(from)
	lost := s.current().writes
	view.at, view.era = now, s.current().era+1
	s.views = append(s.views, view)
	s.copied[view.era] = view.revision()
	s.historyStart = min(s.historyStart, view.revision())
	for _, w := range lost {
		// A copy from before an earlier return has other writes with the same revisions.
		if !slices.Contains(view.writes, w) {
			s.lost[w.change.ID] = lostUntil()
		}
	}
}

// rewrite writes again what is due. An empty ID stands for the routing.
func (s *agedStore) rewrite(now Instant) {
	for _, id := range sortedKeys(s.lost) {
		if s.lost[id] > now {
			continue
		}
		delete(s.lost, id)
		if id == "" {
			s.publish(now)
			continue
		}
		server := s.wanted[id]
		if server != nil {
			s.sequence++
			again := *server
			again.Sequence = s.sequence
			server = &again
		}
		s.writeServer(now, id, server)
	}
}

// agedCall is a pending call of a host to the store, and agedMessage a message between
// hosts or its failure.
type agedCall struct {
	at    Instant
	list  *ListStore
	watch *WatchStore
}

// id returns the ID that the reducer gave the call.
func (c *agedCall) id() uint64 {
	if c.list != nil {
		return c.list.Call
	}
	return c.watch.Call
}

type agedMessage struct {
	from, to *agedHost
	run      int
	event    Event
	// asked is the poll that event is a response to.
	asked AskNews
	due   Instant
}

// agedHost is an entry host with what it knew after the last step.
type agedHost struct {
	name     string
	capacity int
	run      int
	state    *State
	calls    []agedCall
	lastTick Instant
	wakeAt   Instant
	polls    map[uint64]agedMessage
	seen     map[string]agedEntry
	age      storeage.Age
	version  uint64
}

// agedEntry is what a host knew of an entry.
type agedEntry struct {
	age   storeage.Age
	inUse bool
	// born and sequence are those of the last known write of a server.
	born     uint64
	sequence uint64
}

// ageModel drives hosts that share an agedStore.
type ageModel struct {
	t      *rapid.T
	now    Instant
	store  *agedStore
	hosts  []*agedHost
	queue  []agedMessage
	nextID uint64
	// eras makes the store come back from copies.
	eras bool
	// freshAt is the instant from which on reads are fresh.
	freshAt Instant
}

func newAgeModel(t *rapid.T, era uint64) *ageModel {
	m := &ageModel{t: t, now: Instant(10 * time.Second), store: &agedStore{
		wanted: make(map[string]*Server), born: make(map[string]uint64), version: 1,
		copied: make(map[uint64]uint64), lost: make(map[string]Instant),
	}}
	m.store.views = []agedView{{era: era}}
	m.store.publish(0)
	for i := range 4 {
		m.store.writeServer(0, fmt.Sprint("s", i), m.server(fmt.Sprint("s", i), 1, false))
	}
	for i, name := range []string{"entry-1", "entry-2", "entry-3"} {
		h := &agedHost{name: name, capacity: 9 - i}
		m.hosts = append(m.hosts, h)
		m.start(h)
	}
	return m
}

func (m *ageModel) server(id string, born uint64, leaving bool) *Server {
	m.store.sequence++
	s := storeServer(id, "read", "mtl-a")
	s.Born, s.Leaving = born, leaving
	s.Sequence = m.store.sequence
	return &s
}

// start starts a new run of a host, which knows nothing.
func (m *ageModel) start(h *agedHost) {
	h.run++
	h.state, h.calls, h.wakeAt, h.lastTick = New(), nil, 0, m.now
	h.polls, h.seen = make(map[uint64]agedMessage), make(map[string]agedEntry)
	h.age, h.version = storeage.Age{}, 0
	registry := registrySettings()
	registry.Address, registry.Capacity = h.name, h.capacity
	registry.Seeds = []string{"entry-1", "entry-2"}
	m.step(h, Start{Host: h.name, Region: "mtl", FailureDomain: "mtl-a", Seed: 1, Registry: registry})
}

func (m *ageModel) step(h *agedHost, event Event) {
	var out Effects
	h.state.Step(m.now, event, &out)
	for _, effect := range out.All() {
		switch e := effect.(type) {
		case WakeAt:
			if h.wakeAt <= m.now || e.At < h.wakeAt {
				h.wakeAt = e.At
			}
		case ListStore:
			h.calls = append(h.calls, agedCall{at: m.now, list: &e})
		case WatchStore:
			h.calls = append(h.calls, agedCall{at: m.now, watch: &e})
		case AskNews:
			m.poll(h, e)
		case AnswerNews:
			if poll, pending := h.polls[e.ID]; pending {
				delete(h.polls, e.ID)
				m.queue = append(m.queue, agedMessage{
					from: h, to: poll.from, run: poll.run, asked: poll.asked, due: m.now.Add(ageCallTimeout),
					event: NewsAnswered{Address: h.name, Aside: poll.asked.Aside, Answer: e.Answer},
				})
			}
		}
	}
	m.check(h, event)
}

func (m *ageModel) poll(from *agedHost, e AskNews) {
	for _, to := range m.hosts {
		if to.name == e.Address {
			m.nextID++
			m.queue = append(m.queue, agedMessage{
				from: from, to: to, run: from.run, asked: e, due: m.now.Add(e.Ask.Wait + ageCallTimeout),
				event: NewsAsked{ID: m.nextID, Ask: e.Ask},
			})
		}
	}
}

// check compares what a host knows with what it knew: nothing becomes older, and an
// entry that has left comes back only by a later write.
func (m *ageModel) check(h *agedHost, event Event) {
	reg := &h.state.registry
	age := reg.age()
	if age.Before(h.age) {
		m.t.Fatalf("%s: the state went back from %v to %v by %T", h.name, h.age, age, event)
	}
	h.age = age
	if version := h.state.inForce().Generation; version < h.version {
		m.t.Fatalf("%s: version %d replaced version %d", h.name, version, h.version)
	} else {
		h.version = version
	}
	ids := maps.Clone(h.seen)
	for id := range reg.servers {
		ids[id] = agedEntry{}
	}
	for id := range ids {
		server, known := reg.servers[id]
		before, seen := h.seen[id]
		entry := agedEntry{age: reg.entries.Last(id), inUse: known && !server.Leaving, born: server.Born, sequence: server.Sequence}
		if !known || entry.born == before.born {
			entry.born, entry.sequence = max(entry.born, before.born), max(entry.sequence, before.sequence)
		}
		if seen && entry.age.Before(before.age) {
			m.t.Fatalf("%s: entry %s went back from %v to %v by %T %+v", h.name, id, before.age, entry.age, event, event)
		}
		if seen && entry.inUse && !before.inUse && entry.age == before.age {
			m.t.Fatalf("%s: %s is in use again without a later write than that of %v, by %T %+v", h.name, id, entry.age, event, event)
		}
		copied := entry.age.Era > before.age.Era && entry.age.Revision <= m.store.copied[entry.age.Era]
		if seen && entry.inUse && !before.inUse && copied && server.Born == before.born && server.Sequence <= before.sequence {
			m.t.Fatalf("%s: %s is in use again by a copy of its write of %v, although it left at %v, by %T %+v", h.name, id, entry.age, before.age, event, event)
		}
		h.seen[id] = entry
	}
}

// run performs random operations. Then reads are fresh, and what the store has lost is
// written again: all hosts must know it in time.
func (m *ageModel) run() {
	for range 150 {
		m.random()
	}
	m.freshAt = m.now
	for id := range m.store.lost {
		m.store.lost[id] = m.now
	}
	m.store.rewrite(m.now)
	m.settle(propagationBound)
	m.expectCurrent()
	m.settle(expiryGrace)
	m.expectCurrent()
}

// random performs one random operation.
func (m *ageModel) random() {
	h := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")]
	switch rapid.IntRange(0, 13).Draw(m.t, "action") {
	case 0, 1:
		m.changeEntry()
	case 2:
		m.store.version += 2
		m.store.publish(m.now)
	case 3, 4, 5:
		if len(h.calls) > 0 {
			m.respond(h, m.drawCall(h), m.drawTime)
		}
	case 6, 7, 8:
		if len(m.queue) > 0 {
			m.deliver(rapid.IntRange(0, len(m.queue)-1).Draw(m.t, "message"))
		}
	case 9:
		if rapid.IntRange(0, 3).Draw(m.t, "rare") == 0 {
			m.start(h)
		}
	case 10:
		if len(h.calls) > 0 {
			call := h.takeCall(m.drawCall(h))
			m.step(h, StoreFailed{Call: call.id(), Reason: "reset", Era: m.store.current().era})
		}
	case 11:
		if m.eras && rapid.IntRange(0, 2).Draw(m.t, "restore") == 0 {
			m.store.restore(m.now, m.now.Add(-m.drawTime(maxReadAge)), func() Instant { return m.now.Add(m.drawTime(2 * time.Second)) })
			return
		}
		if rapid.IntRange(0, 3).Draw(m.t, "rare") == 0 {
			m.store.historyStart = m.store.current().revision()
		}
	default:
		m.advance(ageStep + m.drawTime(19*ageStep))
	}
}

// drawCall draws one of the pending calls of a host, which may overlap.
func (m *ageModel) drawCall(h *agedHost) int {
	return rapid.IntRange(0, len(h.calls)-1).Draw(m.t, "call")
}

// drawTime draws a time up to a limit.
func (m *ageModel) drawTime(limit time.Duration) time.Duration {
	return ageStep * time.Duration(rapid.IntRange(0, int(limit/ageStep)).Draw(m.t, "time"))
}

// changeEntry registers a server, marks it as leaving, removes its entry, or starts it
// again.
func (m *ageModel) changeEntry() {
	id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(m.t, "server"))
	born := max(1, m.store.born[id])
	switch rapid.IntRange(0, 3).Draw(m.t, "change") {
	case 0:
		m.store.writeServer(m.now, id, m.server(id, born, true))
	case 1:
		m.store.writeServer(m.now, id, nil)
	case 2:
		m.store.born[id] = born + 1
		m.store.writeServer(m.now, id, m.server(id, born+1, false))
	default:
		m.store.writeServer(m.now, id, m.server(id, born, false))
	}
}

// takeCall removes a pending call of the host.
func (h *agedHost) takeCall(i int) agedCall {
	call := h.calls[i]
	h.calls = slices.Delete(h.calls, i, i+1)
	return call
}

// respond responds to a pending call of a host. age draws the age of a read up to a
// limit.
func (m *ageModel) respond(h *agedHost, i int, age func(time.Duration) time.Duration) {
	call := h.takeCall(i)
	// A response may be on its way for as long as the call is pending.
	delay := age(m.now.Sub(call.at))
	if call.watch != nil {
		m.step(h, m.watched(m.store.before(m.now.Add(-delay)), call.watch))
		return
	}
	limit := m.now.Sub(call.at)
	if call.list.Stale {
		limit = max(limit, maxReadAge)
	}
	first, second := m.store.before(m.now.Add(-age(limit))), m.store.before(m.now.Add(-age(limit)))
	m.step(h, m.listed(first, second, call.list))
}

// listed returns the result of a listing with two pages.
func (m *ageModel) listed(first, second *agedView, call *ListStore) Event {
	if first.era != second.era {
		return StoreFailed{Call: call.Call, HistoryGone: true, Era: max(first.era, second.era)}
	}
	listed := StoreListed{Call: call.Call, Stale: call.Stale, Era: first.era, Revision: min(first.revision(), second.revision())}
	for page, view := range []*agedView{first, second} {
		entries, version := view.entries()
		for _, id := range sortedKeys(entries) {
			if (id >= "s2") == (page == 1) {
				listed.Servers = append(listed.Servers, entries[id])
			}
		}
		if page == 0 {
			listed.Routing = routing(version)
		}
	}
	return listed
}

// watched returns the result of a watch.
func (m *ageModel) watched(view *agedView, watch *WatchStore) Event {
	if watch.After < m.store.historyStart || watch.After > view.revision() {
		return StoreFailed{Call: watch.Call, HistoryGone: true, Era: view.era}
	}
	changed := StoreChanged{Call: watch.Call, Revision: view.revision(), Era: view.era}
	for _, w := range view.writes {
		switch {
		case w.revision <= watch.After:
		case w.routing > 0:
			changed.Routing = routing(w.routing)
		default:
			changed.Servers = append(changed.Servers, w.change)
		}
	}
	return changed
}

// deliver delivers one message between hosts, in any order.
func (m *ageModel) deliver(i int) {
	message := m.queue[i]
	m.queue = slices.Delete(m.queue, i, i+1)
	if asked, ok := message.event.(NewsAsked); ok {
		message.to.polls[asked.ID] = message
		m.step(message.to, asked)
	} else if message.to.run == message.run {
		m.step(message.to, message.event)
	}
}

// advance lets time pass. Calls and messages fail once they are due.
func (m *ageModel) advance(d time.Duration) {
	for end := m.now.Add(d); m.now < end; {
		m.now = m.now.Add(ageStep)
		m.store.rewrite(m.now)
		m.failOverdue()
		for _, h := range m.hosts {
			for len(h.calls) > 0 && m.now.Sub(h.calls[0].at) >= ageCallTimeout {
				call := h.takeCall(0)
				m.step(h, StoreFailed{Call: call.id(), Reason: "timeout"})
			}
			if m.now.Sub(h.lastTick) >= TickInterval || h.wakeAt > 0 && m.now >= h.wakeAt {
				h.lastTick, h.wakeAt = m.now, 0
				m.step(h, Tick{})
			}
		}
	}
}

// failOverdue fails the polls without a response in time.
func (m *ageModel) failOverdue() {
	fail := func(poll agedMessage) {
		if poll.from.run == poll.run {
			m.step(poll.from, NewsAnswered{Address: poll.to.name, Aside: poll.asked.Aside, Failed: true})
		}
	}
	for i := 0; i < len(m.queue); i++ {
		message := m.queue[i]
		if message.due > m.now {
			continue
		}
		m.queue = slices.Delete(m.queue, i, i+1)
		i--
		if _, asked := message.event.(NewsAsked); asked {
			fail(message)
		} else if message.to.run == message.run {
			m.step(message.to, NewsAnswered{Address: message.from.name, Aside: message.asked.Aside, Failed: true})
		}
	}
	for _, h := range m.hosts {
		for _, id := range slices.Sorted(maps.Keys(h.polls)) {
			if poll := h.polls[id]; poll.due <= m.now {
				delete(h.polls, id)
				fail(poll)
			}
		}
	}
}

// settle lets time pass with fresh reads and without faults.
func (m *ageModel) settle(d time.Duration) {
	for end := m.now.Add(d); m.now < end; {
		for len(m.queue) > 0 {
			m.deliver(0)
		}
		for _, h := range m.hosts {
			due := func(call agedCall) bool {
				return call.list != nil || m.now.Sub(call.at) >= call.watch.Wait || call.watch.After != m.store.current().revision()
			}
			for i := slices.IndexFunc(h.calls, due); i >= 0; i = slices.IndexFunc(h.calls, due) {
				m.respond(h, i, func(time.Duration) time.Duration { return 0 })
			}
		}
		m.advance(ageStep)
	}
}

// expectCurrent checks that all hosts know what the store holds. Servers that are
// pending removal, since their entries may have expired, are passed over for as long as
// they may be.
func (m *ageModel) expectCurrent() {
	view := m.store.current()
	entries, version := view.entries()
	for _, h := range m.hosts {
		reg := &h.state.registry
		if age := (storeage.Age{Era: view.era, Revision: view.revision()}); reg.age() != age {
			m.t.Fatalf("%s is at %v, the store at %v", h.name, reg.age(), age)
		}
		if reg.routing.Version != version {
			m.t.Fatalf("%s has version %d, the store version %d", h.name, reg.routing.Version, version)
		}
		known := make(map[string]ServerChange)
		for id, server := range reg.servers {
			known[id] = ServerChange{ID: id, Server: &server, Revision: h.state.entryRevision(id)}
		}
		for id, until := range reg.pendingRemoval {
			if until.Add(TickInterval) <= m.now || m.now.Sub(m.freshAt) >= propagationBound+expiryGrace {
				m.t.Fatalf("%s: the removal of %s is pending until %v, at %v", h.name, id, until, m.now)
			}
			delete(known, id)
		}
		if diff := m.difference(known, entries); diff != "" {
			m.t.Fatalf("%s: %s; pending removals: %v", h.name, diff, reg.pendingRemoval)
		}
	}
}

// difference describes the first entry that differs, or is empty.
func (m *ageModel) difference(known, want map[string]ServerChange) string {
	for _, id := range slices.Compact(slices.Sorted(slices.Values(append(sortedKeys(known), sortedKeys(want)...)))) {
		have, inUse := known[id]
		entry, stored := want[id]
		if inUse != stored || stored && (*have.Server != *entry.Server || have.Revision != entry.Revision) {
			return fmt.Sprintf("knows %s as %+v at %d, the store has %+v at %d", id, have.Server, have.Revision, entry.Server, entry.Revision)
		}
	}
	return ""
}

// Guards against reads of different ages: the pages of a stale listing, a response that
// updates of another host overtake, and a host that starts again. An older write must
// not replace a newer one, entry by entry, and no change may be missed for good.
var _ = ginkgo.Describe("hosts that share a store whose reads have ages of their own", func() {
	ginkgo.It("never go back, and know every change within the platform's time of fresh reads", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			m := newAgeModel(t, 0)
			m.run()
		})
	})

	// Guards against revisions that are given out again after the store came back from a
	// copy, and that are taken for those of before: by a late read, by a host that reads
	// for itself and by one that hears of the new era from another host.
	ginkgo.It("never go back in a store that comes back from a copy", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			m := newAgeModel(t, rapid.Uint64Range(0, 1).Draw(t, "era"))
			m.eras = true
			m.run()
		})
	})

	// Guards against a change that the later, older page of a stale listing lacks and
	// that no watch reports, since the revision of the listing is later.
	ginkgo.It("apply a change that one page of a listing lacks", func() {
		r := newStoreTestReducer(defaultRegistry)
		leaving := storeServer("b", "read", "mtl-a")
		leaving.Leaving = true
		r.step(StoreListed{Revision: 4, Stale: true, Routing: routing(1), Servers: []ServerChange{
			{ID: "a", Server: new(storeServer("a", "read", "mtl-a")), Revision: 5},
			{ID: "b", Server: new(storeServer("b", "read", "mtl-a")), Revision: 3},
		}})
		Expect(firstEffect[WatchStore](r.advance(watchBatchDelay)).After).To(Equal(uint64(4)))
		r.step(StoreChanged{Revision: 6, Servers: []ServerChange{{ID: "b", Server: &leaving, Revision: 6}}})
		Expect(r.upstreams("read")).To(Equal([]string{"a"}))
	})

	// Guards against an entry that an update of another host, which is not older as a
	// whole, sets back to an older write.
	ginkgo.It("keep the later write of an entry", func() {
		r := newStoreTestReducer(defaultRegistry)
		leaving := storeServer("a", "read", "mtl-a")
		leaving.Leaving = true
		r.step(StoreListed{Revision: 4, Stale: true, Routing: routing(1), Servers: []ServerChange{
			{ID: "a", Server: &leaving, Revision: 7}, {ID: "b", Server: new(storeServer("b", "read", "mtl-a")), Revision: 2},
		}})
		r.step(NewsAnswered{Address: "entry-9:1", Answer: NewsAnswer{Known: true, Revision: 5, Whole: true, Servers: []ServerChange{
			{ID: "a", Server: new(storeServer("a", "read", "mtl-a")), Revision: 3},
			{ID: "b", Server: new(storeServer("b", "read", "mtl-a")), Revision: 2},
		}}})
		Expect(r.upstreams("read")).To(Equal([]string{"b"}))
	})
})
