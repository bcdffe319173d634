package core

import (
	"time"

	"wisteriapond/config"
	"wisteriapond/intake"
	"wisteriapond/outcome"
)

// TickInterval is the maximum time between two Tick events.
const TickInterval = 100 * time.Millisecond

// State is the control state of an entry host. It is not safe for concurrent
// use: a single goroutine owns it and calls Step for one event at a time.
type State struct {
	self       Start
	now        Instant
	random     random
	table      *config.Table
	services   map[string]*service
	requests   map[RequestID]*request
	hosts      map[string]HostEntry
	pending    *pendingConfiguration
	parts      map[config.Hash]*config.CompiledService
	ready      bool
	stop       stopState
	out        *Effects
	registry   registry
	requestLog requestLogLimits
	cold       coldServers
	// early holds the requests that wait for the first configuration.
	early []earlyRequest
	// started is set by the event Start.
	started bool
	coordination
	traffic
	callers callers
}

// New returns an empty State. Start gives it its settings; before Start, the only
// event that has a lasting effect is StopRequested.
func New() *State {
	s := &State{
		services: make(map[string]*service),
		requests: make(map[RequestID]*request),
		hosts:    make(map[string]HostEntry),
		parts:    make(map[config.Hash]*config.CompiledService),
	}
	s.coordination.init(s)
	s.traffic.init(s)
	return s
}

// Step applies one event at the given instant and appends its effects to out.
// Time never runs backwards: an instant before that of an earlier step is
// replaced by the latest one.
func (s *State) Step(at Instant, event Event, out *Effects) {
	s.now = max(s.now, at)
	s.out = out
	if !s.started {
		s.stepBeforeStart(event)
		s.out = nil
		return
	}
	if s.stop.exiting {
		s.stepAfterExit(event)
		s.out = nil
		return
	}
	s.detectPause()
	switch e := event.(type) {
	case SettingsChanged:
		s.settingsChanged(e)
	case StoreListed:
		s.storeListed(e)
	case StoreChanged:
		s.storeChanged(e)
	case StoreFailed:
		s.storeFailed(e)
	case StoreResponding:
		s.storeResponding(e)
	case NewsAsked:
		s.updatesRequested(e)
	case NewsAnswered:
		s.updatesReceived(e)
	case Tick:
		s.tick()
	case StopRequested:
		s.stopRequested()
	case RequestArrived:
		s.requestArrived(e)
	case AnswerBegun:
		s.responseStarted(e)
	case AttemptFinished:
		s.attemptFinished(e)
	case AnswerDelivered:
		s.responseDelivered(e)
	case CallerGone:
		s.callerDisconnected(e)
	case ManifestRead:
		s.manifestRead(e)
	case PartRead:
		s.partRead(e)
	case DocumentRefused:
		s.documentRefused(e)
	case PlatformFailed:
		s.platformFailed(e)
	case HostListRead:
		s.hostListRead(e)
	case PeerMessage:
		s.peerMessage(e)
	case PeerUnreachable:
		s.peerUnreachable(e)
	case ProbeFinished:
		s.probeFinished(e)
	case StatusRequested:
		s.out.add(ReportStatus{ID: e.ID, Status: s.status()})
	case CallersCounted:
		s.callersCounted(e)
	case DescriptorsShort:
		s.descriptorsShort(e)
	case ExplainRequested:
		s.explain(e)
	}
	s.checkEarly()
	s.runScheduledDrains()
	s.logServerChanges()
	s.finishStep(event)
	s.out = nil
}

// stepBeforeStart applies an event before the settings are known. A signal may come
// while the process starts, and a tick may be due when it takes long.
func (s *State) stepBeforeStart(event Event) {
	switch e := event.(type) {
	case Start:
		s.start(e)
	case StopRequested:
		s.stop.requested = true
	case RequestArrived:
		s.sendRefusal(Refuse{Request: e.ID, Reason: outcome.RefusedNotReady})
	}
}

func (s *State) start(e Start) {
	s.started = true
	s.self = e
	s.random.state = e.Seed
	s.callers.bounds = intake.BoundsOf(e.Limits)
	s.detectPause()
	s.startCoordination(e)
	if s.stop.requested {
		s.beginStop()
	}
	s.finishStep(e)
}

func (s *State) tick() {
	s.tickCoordination()
	s.fireTimers()
	s.checkStop()
}

func (s *State) count(counter Counter, label string) {
	s.out.add(Count{Counter: counter, Label: label, Add: 1})
}
