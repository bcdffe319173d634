package core

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// Effect is an action that the runtime has to carry out.
type Effect interface{ effect() }

// Effects collects the effects of one step, in the order in which they must be
// carried out. It is reused between steps.
type Effects struct {
	list []Effect
}

// All returns the effects. The slice is valid until Reset.
func (e *Effects) All() []Effect { return e.list }

// Reset discards the effects and keeps the allocated memory.
func (e *Effects) Reset() {
	clear(e.list)
	e.list = e.list[:0]
}

func (e *Effects) add(effect Effect) {
	e.list = append(e.list, effect)
}

// StartAttempt sends a request to a backend server.
type StartAttempt struct {
	Attempt  AttemptID
	Service  string
	Upstream string
	Address  string
	// StartBefore is checked right before the first byte is written. A command
	// that was delayed longer is based on stale state and is reported as expired.
	StartBefore Instant
	// Deadline ends the attempt; the remaining time is sent with the request.
	Deadline Instant
	Depth    int
	// MaxIdle is the longest idle time of a kept-alive connection that may be
	// reused; 0 requires a new connection. The backend server may close an idle
	// connection while the request is in transit, which leaves the outcome
	// unknown.
	MaxIdle time.Duration
	// Connections is the maximum number of connections of this host to the
	// address; 0 means no limit.
	Connections int
	// HoldBytes is the size up to which a response is buffered completely.
	HoldBytes int64
	// UnsizedBytes is the size beyond which a response whose length was not
	// announced is aborted; 0 means no limit.
	UnsizedBytes int64
	// Rate paces a long response, in bytes per second; 0 means no pacing.
	Rate int64
	// NotRun is the form in which the backend server reports that it did not
	// run a request.
	NotRun config.NotRunForm
	// Instance identifies the run of the backend server that the request is
	// meant for; empty when backend servers do not check it.
	Instance string
}

// CancelAttempt aborts an attempt by closing its connection.
type CancelAttempt struct {
	Attempt AttemptID
}

// PassAnswer forwards a response to the caller.
type PassAnswer struct {
	Attempt  AttemptID
	Upstream string
	// GaveUp marks the response, so that layers above do not retry.
	GaveUp bool
}

// Defer leaves a request that arrived ahead until its turn, when it arrives again. It ends
// the request here.
type Defer struct {
	Request RequestID
}

// Refuse reports to the caller that the request was not run.
type Refuse struct {
	Request RequestID
	Reason  outcome.Refusal
	Service string
	// RetryAfter is the wait suggested to the caller; 0 for none.
	RetryAfter time.Duration
	// GaveUp marks the response, so that layers above do not retry.
	GaveUp bool
}

// Fail reports to the caller that the outcome of the request is unknown.
type Fail struct {
	Request RequestID
	Reason  outcome.Failure
	Service string
	// GaveUp marks the response, so that layers above do not retry.
	GaveUp bool
}

// SetTransferRate changes the pacing of a long response in progress. Rate is in
// bytes per second; 0 means no pacing.
type SetTransferRate struct {
	Attempt AttemptID
	Rate    int64
}

// CloseIdle closes the pooled connections to an address.
type CloseIdle struct {
	Address string
}

// ReadManifest reads the manifest from the configuration service.
type ReadManifest struct{}

// WatchManifest reads the manifest as soon as it differs from version Have, and
// keeps a watch open until StopWatching.
type WatchManifest struct {
	Have config.Version
}

// StopWatching ends the watch of the manifest.
type StopWatching struct{}

// ReadPart reads one service part from the configuration service.
type ReadPart struct {
	Service string
	Hash    config.Hash
}

// ReadHostList reads the platform's host list.
type ReadHostList struct{}

// StartProbe sends a probe to a backend server. Like that of an attempt, the
// command expires at StartBefore.
type StartProbe struct {
	Service     string
	Upstream    string
	Address     string
	StartBefore Instant
	Probe       config.Probe
	// Connections is the maximum number of connections of this host to the
	// address; 0 means no limit.
	Connections int
	// Instance identifies the run of the backend server that is probed; empty
	// when any run may respond.
	Instance string
	// Reuse reports whether the probe may use a kept-alive connection, which
	// stays open afterwards.
	Reuse bool
}

// PublishView gives traffic goroutines the immutable data that they need before
// a request reaches the reducer.
type PublishView struct {
	View View
}

// View is the part of the state that traffic goroutines read directly.
type View struct {
	// HeaderNames are the names, in lower case, of the request headers that
	// routing depends on.
	HeaderNames []string
	// Closing makes responses ask callers to use another connection.
	Closing bool
	// Limits bounds the size and duration of what callers send.
	Limits config.CallerLimits
}

// WakeAt requests a Tick at the given instant.
type WakeAt struct {
	At Instant
}

// SetReady sets the result of the readiness check.
type SetReady struct {
	Ready bool
}

// StopAccepting closes the listener for callers, and their connections as soon
// as they are idle.
type StopAccepting struct{}

// Exit ends the process.
type Exit struct{}

// Count adds to a counter. Label is the value of the counter's only label, and
// empty when the counter has none.
type Count struct {
	Counter Counter
	Label   string
	Add     int64
}

// LogLevel is the severity of a log entry.
type LogLevel int

// The severities, from the lowest to the highest.
const (
	LogInfo LogLevel = iota
	LogWarn
	LogError
)

// LogField is one field of a log entry.
type LogField struct {
	Key   string
	Value string
}

// Log writes a log entry.
type Log struct {
	Level   LogLevel
	Message string
	Fields  []LogField
}

// ReportStatus responds to a StatusRequested event.
type ReportStatus struct {
	ID     uint64
	Status Status
}

func (ListStore) effect()       {}
func (WatchStore) effect()      {}
func (StartAttempt) effect()    {}
func (CancelAttempt) effect()   {}
func (PassAnswer) effect()      {}
func (Defer) effect()           {}
func (Refuse) effect()          {}
func (Fail) effect()            {}
func (SetTransferRate) effect() {}
func (CloseIdle) effect()       {}
func (ReadManifest) effect()    {}
func (WatchManifest) effect()   {}
func (StopWatching) effect()    {}
func (ReadPart) effect()        {}
func (ReadHostList) effect()    {}
func (StartProbe) effect()      {}
func (PublishView) effect()     {}
func (WakeAt) effect()          {}
func (SetReady) effect()        {}
func (StopAccepting) effect()   {}
func (Exit) effect()            {}
func (Count) effect()           {}
func (Log) effect()             {}
func (ReportStatus) effect()    {}
