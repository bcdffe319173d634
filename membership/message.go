package membership

// Status is the state of a member as seen by one host.
type Status int

// The statuses, from weakest to strongest. For the same incarnation, a stronger
// status overrides a weaker one.
const (
	Alive Status = iota
	Suspect
	Dead
	// Left is the status of a member that has announced a planned stop.
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

// Member describes an entry host. Address is the address at which its peers
// reach it.
type Member struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
}

// Update describes the state of one member. Of two updates of the same member,
// the higher incarnation wins; for the same incarnation, the stronger status.
type Update struct {
	Member      Member
	Incarnation uint64
	Status      Status
}

// supersedes reports whether u overrides the known update of the same member.
func (u Update) supersedes(known Update) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return u.Status > known.Status
}

// Kind is the type of a protocol message.
type Kind int

// The kinds of messages.
const (
	// Gossip only carries updates.
	Gossip Kind = iota
	// Ping requests an Ack with the same sequence number.
	Ping
	// Ack confirms a Ping or a Join.
	Ack
	// PingRequest asks the receiver to ping Target and to forward the Ack.
	PingRequest
	// Join is a Ping that also requests the complete member table of the
	// receiver.
	Join
)

// Message is one message of the protocol. Sender is the sender's own update,
// with the status Alive or Left, so that the receiver always knows where to
// respond.
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
