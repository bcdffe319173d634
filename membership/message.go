package membership

// Status is what a host believes about a member.
type Status int

// The statuses, from weakest to strongest for one incarnation: a later one
// overrides an earlier one.
const (
	Alive Status = iota
	Suspect
	Dead
	// Left is the status of a member that announced a planned stop.
	Left
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name used in logs and status reports.
func (s Status) String() string {
	if int(s) < 0 || int(s) >= len(statusNames) {
		return "invalid"
	}
	return statusNames[s]
}

// Member describes an entry host. Address is where its peers reach it.
type Member struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
}

// Update is one statement about a member. For one member, the higher
// incarnation wins; for one incarnation, the stronger status wins.
type Update struct {
	Member      Member
	Incarnation uint64
	Status      Status
}

// supersedes reports whether u is newer knowledge than known.
func (u Update) supersedes(known Update) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return u.Status > known.Status
}

// Kind tells the messages of the protocol apart.
type Kind int

// The kinds of messages.
const (
	// Gossip carries updates only.
	Gossip Kind = iota
	// Ping asks for an Ack with the same sequence number.
	Ping
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping Target and to pass on the Ack.
	PingRequest
	// Join is a Ping that also asks for everything the receiver knows.
	Join
)

// Message is one message of the protocol. Sender is the sender's own alive or
// left update, so that the receiver can always answer.
type Message struct {
	Kind     Kind
	Sequence uint64
	Sender   Update
	Target   *Member
	Updates  []Update
}

// Send is a message to be sent to an address.
type Send struct {
	Address string
	Message Message
}
