package core

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// Event is one input of the reducer.
type Event interface{ event() }

// RequestID identifies a request within one run of the process.
type RequestID uint64

// AttemptID identifies one attempt of a request. Number starts at 1.
type AttemptID struct {
	Request RequestID
	Number  int
}

// Start is the first event. It carries the static settings that decisions
// depend on.
type Start struct {
	Host          string
	Address       string
	Region        string
	FailureDomain string
	// Seed seeds the random numbers of the reducer.
	Seed uint64
	// Incarnation is higher than that of any earlier run of the same host.
	Incarnation uint64
	// Peers are the addresses of other entry hosts to contact first.
	Peers []string
	// AcceptFor is the time for which the listener goes on accepting after a
	// stop was requested.
	AcceptFor time.Duration
	// StopTimeout bounds the time for which a stop waits for requests in
	// flight; 0 means no bound.
	StopTimeout time.Duration
	// HoldBytes is the size up to which answers are held whole, so that a
	// truncated one can be tried again unseen; 0 stands for HoldBytes.
	HoldBytes int64
	// Registry is set when routing and backend servers come from a store, nil
	// when they come from a configuration service and a host list.
	Registry *RegistrySettings
}

// Tick says that time has passed. It comes at the instant that the last WakeAt
// effect asked for, and at least every TickInterval.
type Tick struct{}

// StopRequested asks for a planned stop.
type StopRequested struct{}

// SettingsChanged reports changed settings of a host that reads a store.
type SettingsChanged struct {
	Registry *RegistrySettings
}

// RequestArrived reports a request from a caller.
type RequestArrived struct {
	ID RequestID
	// Name is the caller's own name for the request, empty when it gave none.
	Name    string
	Request config.Request
	// Timeout is the remaining time that the caller granted; 0 means that the
	// caller named none.
	Timeout time.Duration
	// Depth is the number of entry hosts that the call has passed before.
	Depth int
	// BodyBytes is the size of the request body, -1 when it is not known.
	BodyBytes int64
	// BodyKept says that the body can be sent again.
	BodyKept bool
}

// AnswerBegun reports the head of an answer that is too long to be held.
// Nothing of it has been passed on to the caller.
type AnswerBegun struct {
	Attempt AttemptID
	Facts   outcome.Facts
}

// AttemptFinished reports the end of an attempt of which nothing was passed on
// to the caller: a whole answer is held, or the attempt failed.
type AttemptFinished struct {
	Attempt AttemptID
	Facts   outcome.Facts
}

// AnswerDelivered reports the end of an answer that was passed on while it
// came in.
type AnswerDelivered struct {
	Attempt AttemptID
	// Whole says that the answer came whole from the backend server and was
	// passed on whole.
	Whole bool
	Facts outcome.Facts
}

// CallerGone reports that the caller of a request hung up.
type CallerGone struct {
	ID RequestID
}

// ManifestRead reports a manifest that was read from the configuration service
// or came from a peer, and that the document layer could parse.
type ManifestRead struct {
	Version  config.Version
	Manifest *config.Manifest
	// Raw holds the document's bytes, for peers that miss it.
	Raw []byte
	// From is the peer that sent it; empty for the configuration service.
	From string
}

// PartRead reports a service part.
type PartRead struct {
	Hash    config.Hash
	Service *config.Service
	Raw     []byte
	From    string
}

// DocumentRefused reports a document that the document layer could not parse
// or whose values config refuses. The document layer checks the values, since
// only it knows the lines.
type DocumentRefused struct {
	Key      string
	Problems []string
	From     string
	// Hash identifies the content that was refused.
	Hash config.Hash
}

// PlatformFailed reports that a read or a watch failed.
type PlatformFailed struct {
	Key    string
	Reason string
}

// HostRole tells entry hosts from backend hosts.
type HostRole int

// The roles of hosts.
const (
	BackendHost HostRole = iota
	EntryHost
)

// HostEntry is one line of the platform's host list.
type HostEntry struct {
	Host          string
	Address       string
	Region        string
	FailureDomain string
	Role          HostRole
	// Epoch rises whenever the operator changes the state of the host.
	Epoch   uint64
	Leaving bool
}

// HostListRead reports the platform's list of live and leaving hosts. It is
// empty when the list has not changed.
type HostListRead struct {
	Hosts []HostEntry
}

// ProbeFinished reports the end of a probe.
type ProbeFinished struct {
	Service  string
	Upstream string
	Facts    outcome.Facts
	Took     time.Duration
}

// StatusRequested asks for a report of the state.
type StatusRequested struct {
	ID uint64
}

func (SettingsChanged) event() {}
func (StoreListed) event()     {}
func (StoreChanged) event()    {}
func (StoreFailed) event()     {}
func (Start) event()           {}
func (Tick) event()            {}
func (StopRequested) event()   {}
func (RequestArrived) event()  {}
func (AnswerBegun) event()     {}
func (AttemptFinished) event() {}
func (AnswerDelivered) event() {}
func (CallerGone) event()      {}
func (ManifestRead) event()    {}
func (PartRead) event()        {}
func (DocumentRefused) event() {}
func (PlatformFailed) event()  {}
func (HostListRead) event()    {}
func (ProbeFinished) event()   {}
func (StatusRequested) event() {}
