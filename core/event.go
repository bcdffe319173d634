package core

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/intake"
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
	// Host is the name of this entry host, and Address is where other entry hosts
	// reach it.
	Host          string
	Address       string
	Region        string
	FailureDomain string
	// Seed seeds the random numbers of the reducer.
	Seed uint64
	// Incarnation is higher than that of any earlier run of the same host.
	Incarnation uint64
	// Peers are the addresses of the other entry hosts to contact first.
	Peers []string
	// AcceptFor is the time for which the listener keeps accepting connections
	// after a stop was requested.
	AcceptFor time.Duration
	// StopTimeout bounds the time for which a stop waits for requests in
	// flight once AcceptFor has passed; 0 means no limit.
	StopTimeout time.Duration
	// HoldBytes is the size up to which responses are buffered completely, so
	// that a truncated one can be retried before the caller has seen any of it;
	// 0 means DefaultHoldBytes.
	HoldBytes int64
	// UnsizedBytes is the size beyond which a response whose length was not
	// announced is aborted; 0 means no limit. Such a response may never end.
	UnsizedBytes int64
	// Registry is set when routing and backend servers are read from a store,
	// nil when they come from a configuration service and a host list.
	Registry *RegistrySettings
	// Limits are the limits of the process.
	Limits intake.Limits
}

// Tick reports that time has passed. It is sent at the instants requested by
// WakeAt effects, and at least every TickInterval.
type Tick struct{}

// StopRequested requests a planned stop.
type StopRequested struct{}

// SettingsChanged reports changed settings of a host that reads a store.
type SettingsChanged struct {
	Registry *RegistrySettings
}

// RequestArrived reports a request from a caller.
type RequestArrived struct {
	ID RequestID
	// Name is the caller's identifier for the request, empty when it sent none.
	Name    string
	Request config.Request
	// Timeout is the remaining time granted by the caller; 0 means that the
	// caller set no timeout.
	Timeout time.Duration
	// Depth is the number of entry hosts that the call has already passed.
	Depth int
	// BodyBytes is the size of the request body, -1 when it is not known.
	BodyBytes int64
	// BodyKept reports whether the body is buffered and can be sent again.
	BodyKept bool
	// Ahead reports that an earlier request of the same connection is in progress, whose
	// response may end the connection. The caller then takes this request for unread.
	Ahead bool
}

// AnswerBegun reports the header of a response that is too long to be buffered.
// None of it has been forwarded to the caller.
type AnswerBegun struct {
	Attempt AttemptID
	Facts   outcome.Facts
}

// AttemptFinished reports the end of an attempt of which nothing was forwarded
// to the caller: either a complete response is buffered, or the attempt failed.
type AttemptFinished struct {
	Attempt AttemptID
	Facts   outcome.Facts
}

// AnswerDelivered reports the end of a response that was streamed to the
// caller.
type AnswerDelivered struct {
	Attempt AttemptID
	// Whole reports whether the complete response was received from the backend
	// server and forwarded to the caller.
	Whole bool
	Facts outcome.Facts
}

// CallerGone reports that the caller of a request disconnected.
type CallerGone struct {
	ID RequestID
}

// ManifestRead reports a manifest that was read from the configuration service
// or received from a peer, and that the document layer parsed.
type ManifestRead struct {
	Version  config.Version
	Manifest *config.Manifest
	// Raw holds the document's bytes, for peers that lack it.
	Raw []byte
	// From is the peer that sent it; empty for the configuration service.
	From string
}

// PartRead reports a part: the document that configures one service. Raw and
// From are as in ManifestRead.
type PartRead struct {
	Hash    config.Hash
	Service *config.Service
	Raw     []byte
	From    string
}

// DocumentRefused reports a document that the document layer could not parse
// or whose values package config rejects. The document layer checks the values
// because only it knows the line numbers.
type DocumentRefused struct {
	Key      string
	Problems []string
	From     string
	// Hash identifies the rejected content.
	Hash config.Hash
}

// PlatformFailed reports that a read or a watch of the platform failed.
type PlatformFailed struct {
	Key    string
	Reason string
}

// HostRole distinguishes entry hosts from backend hosts.
type HostRole int

// The roles of hosts.
const (
	BackendHost HostRole = iota
	EntryHost
)

// HostEntry is one entry of the platform's host list.
type HostEntry struct {
	Host          string
	Address       string
	Region        string
	FailureDomain string
	Role          HostRole
	// Epoch increases whenever the operator changes the state of the host.
	Epoch   uint64
	Leaving bool
}

// HostListRead reports the platform's list of live and leaving hosts. Hosts is
// empty when the list has not changed.
type HostListRead struct {
	Hosts []HostEntry
}

// ProbeFinished reports the end of a probe. Took is the time from the first byte
// sent to the end of the response; 0 if nothing was sent.
type ProbeFinished struct {
	Service  string
	Upstream string
	Facts    outcome.Facts
	Took     time.Duration
}

// StatusRequested requests a status report.
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
