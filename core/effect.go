package core

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// Effect is one thing that the runtime has to do.
type Effect interface{ effect() }

// Effects collects the effects of one step, in the order in which they are to
// be carried out. It is reused between steps.
type Effects struct {
	list []Effect
}

// All returns the effects. The slice is valid until Reset.
func (e *Effects) All() []Effect { return e.list }

// Reset empties the buffer and keeps its memory.
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
	// that was delayed longer acts on old facts and is reported as expired.
	StartBefore Instant
	// Deadline ends the attempt; the remaining time is sent along.
	Deadline Instant
	Depth    int
	// MaxIdle is the time for which a kept-alive connection may have been idle
	// to be used; 0 asks for a new one. The backend server may close an idle
	// connection while the request is under way, which leaves the outcome
	// unknown.
	MaxIdle time.Duration
	// Connections is the largest number of connections that this host may have
	// to the address; 0 means no limit.
	Connections int
	// HoldBytes is the size up to which an answer is held whole.
	HoldBytes int64
	// Rate paces a long answer, in bytes per second; 0 means no pacing.
	Rate int64
	// NotRun is the form in which the backend server refuses a request.
	NotRun config.NotRunForm
	// Instance names the run of the backend server that the request is meant
	// for; empty when backend servers do not check it.
	Instance string
}

// CancelAttempt ends an attempt by closing its connection.
type CancelAttempt struct {
	Attempt AttemptID
}

// PassAnswer passes an answer on to the caller.
type PassAnswer struct {
	Attempt  AttemptID
	Upstream string
	// GaveUp marks the answer, so that layers above do not retry.
	GaveUp bool
}

// Refuse tells the caller that the request was not run.
type Refuse struct {
	Request RequestID
	Reason  outcome.Refusal
	Service string
	// RetryAfter is the wait suggested to the caller; 0 for none.
	RetryAfter time.Duration
	// GaveUp marks the answer, so that layers above do not retry.
	GaveUp bool
}

// Fail tells the caller that the outcome of the request is unknown.
type Fail struct {
	Request RequestID
	Reason  outcome.Failure
	Service string
	// GaveUp marks the answer, so that layers above do not retry.
	GaveUp bool
}

// SetTransferRate changes the pacing of a long answer under way.
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

// WatchManifest reads the manifest as soon as it differs from the version, and
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

// StartProbe measures a backend server. The command expires like an attempt.
type StartProbe struct {
	Service     string
	Upstream    string
	Address     string
	StartBefore Instant
	Probe       config.Probe
	// Connections is the largest number of connections that this host may have
	// to the address; 0 means no limit.
	Connections int
	// Instance names the run of the backend server that is meant; empty when
	// any may answer.
	Instance string
	// Reuse says that a kept connection may carry the probe, and is kept after
	// it.
	Reuse bool
}

// PublishView hands traffic goroutines the immutable facts they need before a
// request reaches the reducer.
type PublishView struct {
	View View
}

// View is what traffic goroutines may know without asking.
type View struct {
	// HeaderNames are the lower-case request headers that routing looks at.
	HeaderNames []string
	// Closing asks callers to use another connection.
	Closing bool
	// Limits bounds what callers may send.
	Limits config.CallerLimits
}

// WakeAt asks for a Tick at the given instant.
type WakeAt struct {
	At Instant
}

// SetReady changes what the readiness check says.
type SetReady struct {
	Ready bool
}

// StopAccepting closes the listener towards callers, and their connections as
// soon as they are idle.
type StopAccepting struct{}

// Exit ends the process.
type Exit struct{}

// Count adds to a counter. Label is the value of the counter's one label, or
// empty.
type Count struct {
	Counter Counter
	Label   string
	Add     int64
}

// LogLevel is the severity of a log line.
type LogLevel int

// The severities.
const (
	LogInfo LogLevel = iota
	LogWarn
	LogError
)

// LogField is one field of a log line.
type LogField struct {
	Key   string
	Value string
}

// Log writes a log line.
type Log struct {
	Level   LogLevel
	Message string
	Fields  []LogField
}

// ReportStatus answers a StatusRequested event.
type ReportStatus struct {
	ID     uint64
	Status Status
}

func (ListStore) effect()       {}
func (WatchStore) effect()      {}
func (StartAttempt) effect()    {}
func (CancelAttempt) effect()   {}
func (PassAnswer) effect()      {}
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
