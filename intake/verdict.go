package intake

import (
	"cmp"
	"slices"
	"time"
)

// Phase is what a connection is at.
type Phase uint8

// The phases. A connection that has carried no request is fresh until its first byte.
const (
	PhaseFresh Phase = iota
	PhaseIdle
	PhaseHead
	// PhaseRequest lasts from the end of the head until the answer is written.
	PhaseRequest
)

// Connection is what a census says of one connection.
type Connection struct {
	ID    uint64
	Phase Phase
	// For is how long the phase has lasted.
	For time.Duration
	// Stalled is how long the caller has taken no byte of an answer, 0 if it does.
	Stalled time.Duration
	// Uploading is set while a body that is not buffered is being received, and Server
	// if the connection occupies one to a backend server, for a body or an answer.
	Uploading bool
	Server    bool
	// Bytes is what the connection counts for.
	Bytes int64
}

// Census is the state of all connections at one moment.
type Census struct {
	Connections []Connection
	// Waiting is set if a new connection cannot be accepted, and ServersFull if a
	// connection to a backend server could not be opened.
	Waiting     bool
	ServersFull bool
}

// Reason is why a connection is closed.
type Reason string

// The reasons.
const (
	ReasonIdle    Reason = "idle"
	ReasonHead    Reason = "slow_head"
	ReasonStalled Reason = "stalled_answer"
	ReasonBody    Reason = "slow_body"
)

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{ReasonIdle, ReasonHead, ReasonStalled, ReasonBody} }

// Closure is the decision to close one connection. It holds only as long as the
// connection is still in the phase that it was in.
type Closure struct {
	ID     uint64
	Phase  Phase
	Reason Reason
}

const (
	// freshTime is left to a new connection for its first byte, headTime to a head
	// until it counts as slow, and stallTime to a caller until it counts as one that
	// does not read. bodyTime is left to a body that is being received; it is longer
	// since its server may be the slow one. They apply only during a shortage.
	freshTime = 250 * time.Millisecond
	headTime  = time.Second
	stallTime = time.Second
	bodyTime  = 5 * time.Second
	// StallNotice is the time after which the memory of a stalled answer counts. Most
	// writes end at once. When memory is short, it is also the time that is left to a
	// caller that reads slowly.
	StallNotice = 100 * time.Millisecond
	// roomPart of a bound, as its divisor, is made free at once, so that the next
	// arrivals do not each need a decision.
	roomPart = 8
)

// Shortage is what is short.
type Shortage string

// The shortages. ShortOfDescriptors is never found in a census: the operating system
// reports it.
const (
	ShortOfConnections       Shortage = "caller_connections"
	ShortOfServerConnections Shortage = "server_connections"
	ShortOfMemory            Shortage = "memory"
	ShortOfDescriptors       Shortage = "descriptors"
)

// Shortages returns what is short. Without a shortage nothing is closed.
func (b *Bounds) Shortages(c *Census) []Shortage {
	var found []Shortage
	if c.Waiting {
		found = append(found, ShortOfConnections)
	}
	if c.ServersFull {
		found = append(found, ShortOfServerConnections)
	}
	if b.Bytes > 0 && total(c.Connections) > b.Bytes {
		found = append(found, ShortOfMemory)
	}
	return found
}

func total(connections []Connection) int64 {
	var sum int64
	for i := range connections {
		sum += connections[i].Bytes
	}
	return sum
}

// need is what remains to be made free.
type need struct {
	connections, servers int
	bytes                int64
}

func (n *need) met() bool { return n.connections <= 0 && n.servers <= 0 && n.bytes <= 0 }

func (n *need) subtract(c *Connection) {
	n.connections--
	n.bytes -= c.Bytes
	if c.Server {
		n.servers--
	}
}

// Decide returns the connections to close, no more than are needed except for those that
// have sent nothing while others wait. Connections without a request go first,
// since their callers lose nothing: those that never carried one, then those that
// have been idle longest. Then come the heads that have taken longest, and then the
// answers whose callers have read nothing for longest, and last the bodies that have
// taken longest. Only when memory is short, answers that are read slowly follow. A
// request that was received completely is not closed while its answer is awaited or
// being read at a good rate. Where closing a connection would not help,
// as for connections to backend servers, its kind is passed over.
func (b *Bounds) Decide(c *Census) []Closure {
	wanted := b.needOf(c)
	if wanted.met() {
		return nil
	}
	var closures []Closure
	for i := range kinds {
		k := &kinds[i]
		if !k.helps(&wanted) {
			continue
		}
		for _, candidate := range k.candidates(c.Connections) {
			if wanted.met() && !(k.allWhileWaiting && c.Waiting) {
				return closures
			}
			wanted.subtract(candidate)
			closures = append(closures, Closure{ID: candidate.ID, Phase: candidate.Phase, Reason: k.reason})
		}
	}
	return closures
}

func (b *Bounds) needOf(c *Census) need {
	var n need
	if c.Waiting {
		n.connections = len(c.Connections) - (b.Connections - max(1, b.Connections/roomPart))
	}
	if c.ServersFull {
		n.servers = max(1, b.ServerConnections/roomPart)
	}
	if sum := total(c.Connections); b.Bytes > 0 && sum > b.Bytes {
		n.bytes = sum - (b.Bytes - b.Bytes/roomPart)
	}
	return n
}

// kind is one kind of connection that may be closed.
type kind struct {
	reason Reason
	// applies reports whether a connection is of this kind, and age returns the time
	// by which the oldest goes first.
	applies func(c *Connection) bool
	age     func(c *Connection) time.Duration
	// freesServers is set if connections to backend servers become free as well.
	freesServers bool
	// allWhileWaiting is set for a kind that is closed completely while a connection waits
	// to be accepted: who waits is mostly served at once, and those ask for nothing.
	allWhileWaiting bool
	// memoryOnly is set for a kind that is closed only when memory is short.
	memoryOnly bool
}

// kinds are disjoint and in the order in which connections are closed.
var kinds = []kind{
	{reason: ReasonIdle, applies: func(c *Connection) bool { return c.Phase == PhaseFresh && c.For >= freshTime }, age: phaseAge, allWhileWaiting: true},
	{reason: ReasonIdle, applies: func(c *Connection) bool { return c.Phase == PhaseIdle }, age: phaseAge},
	{reason: ReasonHead, applies: func(c *Connection) bool { return c.Phase == PhaseHead && c.For >= headTime }, age: phaseAge},
	{
		reason:       ReasonStalled,
		applies:      func(c *Connection) bool { return c.Phase == PhaseRequest && c.Stalled >= stallTime },
		age:          func(c *Connection) time.Duration { return c.Stalled },
		freesServers: true,
	},
	{
		reason:       ReasonBody,
		applies:      slowBody,
		age:          phaseAge,
		freesServers: true,
	},
	{
		reason: ReasonStalled,
		applies: func(c *Connection) bool {
			return c.Phase == PhaseRequest && c.Stalled >= StallNotice && c.Stalled < stallTime && !slowBody(c)
		},
		age:          func(c *Connection) time.Duration { return c.Stalled },
		freesServers: true,
		memoryOnly:   true,
	},
}

func slowBody(c *Connection) bool {
	return c.Phase == PhaseRequest && c.Uploading && c.For >= bodyTime && c.Stalled < stallTime
}

// helps reports whether closing connections of a kind frees something that is needed.
func (k *kind) helps(n *need) bool {
	if k.memoryOnly {
		return n.bytes > 0
	}
	return k.freesServers || n.connections > 0 || n.bytes > 0
}

func phaseAge(c *Connection) time.Duration { return c.For }

// candidates returns the connections of a kind, the oldest first. Equal ages are in
// the order of their IDs, so that the result does not depend on that of the census.
func (k *kind) candidates(connections []Connection) []*Connection {
	var found []*Connection
	for i := range connections {
		if k.applies(&connections[i]) {
			found = append(found, &connections[i])
		}
	}
	slices.SortFunc(found, func(a, b *Connection) int {
		return cmp.Or(cmp.Compare(k.age(b), k.age(a)), cmp.Compare(a.ID, b.ID))
	})
	return found
}
