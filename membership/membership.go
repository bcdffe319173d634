// Package membership maintains the table of entry hosts with a gossip protocol.
// Each host pings one member per interval. If the member does not respond, the
// host asks others to ping it, then suspects it, and declares it dead unless
// the suspicion is refuted. Updates are piggybacked on these messages, so the
// cost per host does not depend on the number of members.
package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// PingInterval is the time between two pings that a host sends.
	PingInterval = time.Second
	// pingTimeout is the time to wait for a response before other members are
	// asked to ping the target. It is several round trips between regions.
	pingTimeout = 300 * time.Millisecond
	// indirectPings is the number of members that are asked to ping a target
	// that did not respond.
	indirectPings = 3
	// suspicionTimeout is the time that a suspected member has to refute the
	// suspicion.
	suspicionTimeout = 5 * time.Second
	// deadRetention is the time for which dead members are remembered, so that
	// old updates do not bring them back.
	deadRetention = 10 * time.Minute
	// rejoinInterval is the time between two attempts to reach an address that
	// belongs to no live member. These attempts merge the two sides after a
	// partition has healed.
	rejoinInterval = 5 * time.Second
	// MaxMembers bounds the size of the table.
	MaxMembers = 4096
	// maxPiggybacked bounds the number of updates attached to a message.
	maxPiggybacked = 8
	// maxViewUpdates bounds the number of updates in one message of a full
	// exchange, and the number that is applied from any message.
	maxViewUpdates = 64
	// maxProxyPings bounds the number of pings on behalf of other hosts that
	// are waiting for an Ack.
	maxProxyPings = 64
	// maxContacts bounds the number of addresses known from the settings and
	// the host list.
	maxContacts = 4096
)

// Change is a change of the status of a member in this host's table.
type Change struct {
	Member Member
	From   Status
	To     Status
	// New is set when the member was not in the table before.
	New bool
}

// Output collects the messages and changes that result from a call.
type Output struct {
	Sends   []Send
	Changes []Change
}

// Reset empties the output but keeps its capacity.
func (o *Output) Reset() {
	clear(o.Sends)
	o.Sends = o.Sends[:0]
	o.Changes = o.Changes[:0]
}

// Table is the member table of one host. Instants are those of the monotonic
// clock of the process.
type Table struct {
	self       Update
	random     func(n int) int
	members    map[string]*member
	live       []*member
	contacts   []string
	broadcasts BroadcastQueue[Update]
	sequence   uint64
	nextIndex  int
	nextPing   time.Duration
	nextRejoin time.Duration
	pending    pendingPing
	proxyPings []proxyPing
	out        *Output
}

type member struct {
	Update
	changedAt time.Duration
	// heard is set once a message from the member itself has arrived, as
	// opposed to updates about it from other members.
	heard bool
}

// pendingPing is the ping of the current interval.
type pendingPing struct {
	target   *member
	sequence uint64
	deadline time.Duration
	indirect bool
}

// proxyPing is a ping made on behalf of another host.
type proxyPing struct {
	sequence       uint64
	originSequence uint64
	address        string
}

// New returns a table that contains only the host itself. The incarnation must
// be higher than that of any earlier run of the host.
func New(self Member, incarnation uint64, random func(n int) int) *Table {
	return &Table{
		self:    Update{Member: self, Incarnation: incarnation},
		random:  random,
		members: make(map[string]*member),
	}
}

// Self returns the host's own update.
func (t *Table) Self() Update { return t.self }

// LiveCount returns the number of other live members: those that are neither
// dead nor left.
func (t *Table) LiveCount() int { return len(t.live) }

// LiveMembers returns the other live members, ordered by name.
func (t *Table) LiveMembers() []Member {
	found := make([]Member, 0, len(t.live))
	for _, m := range t.live {
		found = append(found, m.Member)
	}
	slices.SortFunc(found, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// Updates returns the latest update of every other member, ordered by name.
func (t *Table) Updates() []Update {
	found := make([]Update, 0, len(t.members))
	for _, m := range t.members {
		found = append(found, m.Update)
	}
	slices.SortFunc(found, func(a, b Update) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	return found
}

// Lookup returns the latest update of another member, and whether it is in the
// table.
func (t *Table) Lookup(name string) (Update, bool) {
	m := t.members[name]
	if m == nil {
		return Update{}, false
	}
	return m.Update, true
}

// Sample returns up to n random live members.
func (t *Table) Sample(n int) []Member {
	n = min(n, len(t.live))
	picked := make([]Member, 0, n)
	for i := range n {
		j := i + t.random(len(t.live)-i)
		t.live[i], t.live[j] = t.live[j], t.live[i]
		picked = append(picked, t.live[i].Member)
	}
	return picked
}

// AddContact adds an address at which an entry host may be reached.
func (t *Table) AddContact(address string) {
	if address == "" || address == t.self.Member.Address || len(t.contacts) >= maxContacts {
		return
	}
	if !slices.Contains(t.contacts, address) {
		t.contacts = append(t.contacts, address)
	}
}

// Join requests the complete member tables of the hosts at the given addresses.
func (t *Table) Join(now time.Duration, addresses []string, out *Output) {
	t.out = out
	for _, address := range addresses {
		t.sequence++
		t.send(address, Message{Kind: Join, Sequence: t.sequence})
	}
	t.nextPing = max(t.nextPing, now)
}

// Announce announces this host to the given members immediately. A starting host
// announces itself to the members whose responsibilities it assumes.
func (t *Table) Announce(members []Member, out *Output) {
	t.out = out
	for _, m := range members {
		t.send(m.Address, Message{Kind: Gossip})
	}
}

// Leave announces a planned stop to the given members.
func (t *Table) Leave(members []Member, out *Output) {
	t.self.Status = Left
	t.broadcasts.Add(t.self.Member.Name, t.self)
	t.Announce(members, out)
}

// Tick sends the pings that are due and advances suspicions.
func (t *Table) Tick(now time.Duration, out *Output) {
	t.out = out
	t.checkPing(now)
	t.checkSuspects(now)
	if now >= t.nextPing {
		t.nextPing = now + PingInterval
		t.ping(now)
	}
	if now >= t.nextRejoin {
		t.nextRejoin = now + rejoinInterval
		t.rejoin()
	}
}

// Resume restarts failure detection after a pause of the process. It drops the
// pending ping, whose Ack may have been lost through no fault of the target,
// and leaves suspected members at least half of suspicionTimeout to refute. The
// given output receives a Join to a few members.
func (t *Table) Resume(now time.Duration, out *Output) {
	t.out = out
	t.pending = pendingPing{}
	for _, m := range t.members {
		m.changedAt = max(m.changedAt, now-suspicionTimeout/2)
	}
	t.Join(now, addressesOf(t.Sample(indirectPings)), out)
}

// ping sends the ping of this interval to the next member of a random order,
// which is shuffled again for each round. A round covers all members, which
// bounds the time until a failure is detected. Sample and membership changes
// reorder the list within a round, so that a round may skip a member.
func (t *Table) ping(now time.Duration) {
	if len(t.live) == 0 {
		return
	}
	if t.nextIndex >= len(t.live) {
		t.nextIndex = 0
		t.Sample(len(t.live))
	}
	target := t.live[t.nextIndex]
	t.nextIndex++
	t.sequence++
	t.pending = pendingPing{target: target, sequence: t.sequence, deadline: now + pingTimeout}
	t.send(target.Member.Address, Message{Kind: Ping, Sequence: t.sequence})
}

// checkPing handles a pending ping without an Ack: first it asks other members to
// ping the target, and at the end of the interval it suspects the target.
func (t *Table) checkPing(now time.Duration) {
	p := &t.pending
	if p.target == nil || now < p.deadline {
		return
	}
	if p.indirect {
		t.suspect(p.target, now)
		*p = pendingPing{}
		return
	}
	p.indirect = true
	p.deadline += PingInterval - pingTimeout
	target := p.target.Member
	for _, proxy := range t.Sample(indirectPings + 1) {
		if proxy.Name != target.Name {
			t.send(proxy.Address, Message{Kind: PingRequest, Sequence: p.sequence, Target: &target})
		}
	}
}

func (t *Table) suspect(m *member, now time.Duration) {
	if m.Status != Alive {
		return
	}
	update := m.Update
	update.Status = Suspect
	t.apply(update, now)
}

// checkSuspects declares members dead whose suspicion was not refuted in time,
// and removes members that have been dead or left for deadRetention.
func (t *Table) checkSuspects(now time.Duration) {
	var expired, forgotten []*member
	for _, m := range t.members {
		switch {
		case m.Status == Suspect && now-m.changedAt >= suspicionTimeout:
			expired = append(expired, m)
		case m.Status >= Dead && now-m.changedAt >= deadRetention:
			forgotten = append(forgotten, m)
		}
	}
	slices.SortFunc(expired, func(a, b *member) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	for _, m := range expired {
		update := m.Update
		update.Status = Dead
		t.apply(update, now)
	}
	for _, m := range forgotten {
		delete(t.members, m.Member.Name)
	}
}

// rejoin sends a Join to a random address among the contacts that belong to no
// live member and the dead members.
func (t *Table) rejoin() {
	candidates := make([]string, 0, 8)
	for _, address := range t.contacts {
		if !t.isLive(address) {
			candidates = append(candidates, address)
		}
	}
	for _, m := range t.members {
		if m.Status == Dead && !slices.Contains(candidates, m.Member.Address) {
			candidates = append(candidates, m.Member.Address)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.Sort(candidates)
	t.sequence++
	t.send(candidates[t.random(len(candidates))], Message{Kind: Join, Sequence: t.sequence})
}

func (t *Table) isLive(address string) bool {
	return slices.ContainsFunc(t.live, func(m *member) bool { return m.Member.Address == address })
}

// Receive applies a message received from the host that the peer's certificate
// names. It ignores a message that claims to be from another host.
func (t *Table) Receive(now time.Duration, from string, m Message, out *Output) {
	t.out = out
	if m.Sender.Member.Name != from || from == t.self.Member.Name {
		return
	}
	t.apply(m.Sender, now)
	for _, update := range m.Updates[:min(len(m.Updates), maxViewUpdates)] {
		t.apply(update, now)
	}
	sender := t.members[from]
	if sender == nil {
		return
	}
	t.heardFrom(sender, now)
	address := m.Sender.Member.Address
	switch m.Kind {
	case Ping:
		t.send(address, Message{Kind: Ack, Sequence: m.Sequence})
	case Join:
		t.send(address, Message{Kind: Ack, Sequence: m.Sequence})
		t.sendView(address)
	case Ack:
		t.acknowledged(m.Sequence)
	case PingRequest:
		t.pingOnBehalf(address, m)
	}
}

// heardFrom records that a member has sent a message. If this host considers
// the member suspect or dead, it notifies the member, which can then refute
// this at once.
func (t *Table) heardFrom(m *member, now time.Duration) {
	m.heard = true
	if t.pending.target == m {
		t.pending = pendingPing{}
	}
	if m.Status == Suspect || m.Status == Dead {
		t.broadcasts.Add(m.Member.Name, m.Update)
		t.sendUpdates(m.Member.Address, []Update{m.Update})
	}
}

func (t *Table) sendUpdates(address string, updates []Update) {
	t.out.Sends = append(t.out.Sends, Send{Address: address, Message: Message{Sender: t.self, Updates: updates}})
}

// sendView sends the complete table in messages of bounded size.
func (t *Table) sendView(address string) {
	for chunk := range slices.Chunk(t.Updates(), maxViewUpdates) {
		t.sendUpdates(address, chunk)
	}
}

// acknowledged handles the Ack of the pending ping, and forwards that of a ping
// made on behalf of another host.
func (t *Table) acknowledged(sequence uint64) {
	if t.pending.target != nil && t.pending.sequence == sequence {
		t.pending = pendingPing{}
	}
	for i, p := range t.proxyPings {
		if p.sequence == sequence {
			t.proxyPings = slices.Delete(t.proxyPings, i, i+1)
			t.send(p.address, Message{Kind: Ack, Sequence: p.originSequence})
			return
		}
	}
}

func (t *Table) pingOnBehalf(address string, m Message) {
	if m.Target == nil {
		return
	}
	if len(t.proxyPings) >= maxProxyPings {
		t.proxyPings = slices.Delete(t.proxyPings, 0, 1)
	}
	t.sequence++
	t.proxyPings = append(t.proxyPings, proxyPing{sequence: t.sequence, originSequence: m.Sequence, address: address})
	t.send(m.Target.Address, Message{Kind: Ping, Sequence: t.sequence})
}

// apply applies an update if it supersedes the known one.
func (t *Table) apply(update Update, now time.Duration) {
	name := update.Member.Name
	if name == "" {
		return
	}
	if name == t.self.Member.Name {
		t.refute(update)
		return
	}
	m := t.members[name]
	if m == nil {
		t.add(update, now)
		return
	}
	if !update.supersedes(m.Update) {
		return
	}
	from := m.Status
	m.Update = update
	m.changedAt = now
	t.setLive(m, from, update.Status)
	t.broadcasts.Add(name, update)
	if from != update.Status {
		t.out.Changes = append(t.out.Changes, Change{Member: update.Member, From: from, To: update.Status})
	}
}

func (t *Table) add(update Update, now time.Duration) {
	if len(t.members) >= MaxMembers {
		return
	}
	m := &member{Update: update, changedAt: now}
	t.members[update.Member.Name] = m
	t.broadcasts.Add(update.Member.Name, update)
	if update.Status >= Dead {
		return
	}
	t.setLive(m, Dead, update.Status)
	t.out.Changes = append(t.out.Changes, Change{Member: update.Member, From: Dead, To: update.Status, New: true})
}

// setLive maintains the list of live members. A new member is inserted at a
// random position of the ping order, so that it is pinged in this round or the
// next.
func (t *Table) setLive(m *member, from, to Status) {
	if (from < Dead) == (to < Dead) {
		return
	}
	if to >= Dead {
		t.live = slices.DeleteFunc(t.live, func(other *member) bool { return other == m })
		return
	}
	t.live = append(t.live, m)
	i := t.random(len(t.live))
	last := len(t.live) - 1
	t.live[i], t.live[last] = t.live[last], t.live[i]
}

// refute counters an update that gives this host a worse status, by a higher
// incarnation. A stopping host keeps the status Left.
func (t *Table) refute(update Update) {
	if update.Incarnation < t.self.Incarnation {
		return
	}
	if update.Incarnation == t.self.Incarnation && update.Status <= t.self.Status {
		return
	}
	t.self.Incarnation = update.Incarnation + 1
	t.broadcasts.Add(t.self.Member.Name, t.self)
}

// send sends a message with up to maxPiggybacked queued updates.
func (t *Table) send(address string, m Message) {
	m.Sender = t.self
	m.Updates = t.broadcasts.Next(maxPiggybacked, len(t.live)+1)
	t.out.Sends = append(t.out.Sends, Send{Address: address, Message: m})
}

func addressesOf(members []Member) []string {
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}
