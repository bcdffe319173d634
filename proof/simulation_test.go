package proof

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
)

const (
	backendHosts = 4
	slots        = 3
	notRunStatus = 503
)

// call is one request of a caller, with what the oracle knows about it.
type call struct {
	number     int
	idempotent bool
	// runs counts how often a backend server ran the request.
	runs     int
	terminal []core.Effect
	// attempts is the number of the latest attempt.
	attempts int
	// response is the attempt whose whole response the transport holds.
	response     *attempt
	disconnected bool
	// lost is set when the entry host ended; its caller sees a broken
	// connection and the reducer owes nothing any more.
	lost bool
}

// attempt is one attempt on its way.
type attempt struct {
	call        *call
	startEffect core.StartAttempt
	host        *entryHost
	run         int
	started     bool
	// ran and shed say what the backend server did.
	ran       bool
	shed      bool
	streaming bool
	canceled  bool
	ended     bool
}

// entryHost is one reducer with the transport's part of its state.
type entryHost struct {
	name     string
	address  string
	run      int
	state    *core.State
	effects  core.Effects
	wakeAt   core.Instant
	lastTick core.Instant
	paused   bool
	exited   bool
	stopping bool
	ready    bool
	nextID   core.RequestID
	calls    map[core.RequestID]*call
	attempts []*attempt
	inForce  config.Version
	reads    []core.ReadPart
	// lastStep is the instant of the last event, and unconfirmedUntil the end
	// of the time for which a host that was paused starts no non-idempotent
	// request unless someone has answered it.
	lastStep         core.Instant
	unconfirmedUntil core.Instant
	// leavingSince is the instant at which this run of the host was first told
	// that a backend host is leaving.
	leavingSince map[string]core.Instant
}

// packet is a message between entry hosts under way.
type packet struct {
	from    *entryHost
	to      string
	message core.Message
}

// simulation is the clock, the transport, the platform and the backend servers.
type simulation struct {
	t             *rapid.T
	now           core.Instant
	hosts         []*entryHost
	calls         []*call
	orphaned      []*attempt
	inTransit     []packet
	generations   []publishedConfig
	hostList      []core.HostEntry
	pastHostLists [][]core.HostEntry
	partitioned   bool
	probes        []core.Instant
}

// publishedConfig is one generation at the configuration service.
type publishedConfig struct {
	version  config.Version
	manifest *config.Manifest
	parts    map[config.Hash]*config.Service
}

func newSimulation(t *rapid.T, entryHosts int) *simulation {
	s := &simulation{t: t}
	for i := range backendHosts {
		s.hostList = append(s.hostList, core.HostEntry{
			Host: backendName(i), Address: backendAddress(i), Region: "mtl", FailureDomain: "mtl-a", Epoch: 1,
		})
	}
	for i := range entryHosts {
		s.hostList = append(s.hostList, core.HostEntry{
			Host: fmt.Sprintf("entry-%d", i), Address: entryAddress(i), Region: "mtl", FailureDomain: "mtl-a",
			Role: core.EntryHost, Epoch: 1,
		})
	}
	s.publish(true)
	for i := range entryHosts {
		h := &entryHost{name: fmt.Sprintf("entry-%d", i), address: entryAddress(i)}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	return s
}

func backendName(i int) string    { return fmt.Sprintf("backend-%d", i) }
func backendAddress(i int) string { return fmt.Sprintf("127.0.1.%d:80", i+1) }
func entryAddress(i int) string   { return fmt.Sprintf("127.0.2.%d:7000", i+1) }

// start begins a new run of a host: nothing of the earlier run is kept.
func (s *simulation) start(h *entryHost) {
	for _, c := range h.calls {
		c.lost = c.lost || len(c.terminal) == 0
	}
	h.run++
	h.state = core.New()
	h.calls = make(map[core.RequestID]*call)
	h.leavingSince = make(map[string]core.Instant)
	h.attempts, h.reads = nil, nil
	h.paused, h.exited, h.stopping, h.ready = false, false, false, false
	h.wakeAt, h.lastTick = 0, s.now
	h.lastStep, h.unconfirmedUntil = s.now, 0
	h.inForce = config.Version{}
	var peers []string
	for i, other := range s.hosts {
		if other != h {
			peers = append(peers, entryAddress(i))
		}
	}
	s.step(h, core.Start{
		Host: h.name, Address: h.address, Region: "mtl", FailureDomain: "mtl-a",
		Seed: uint64(h.run), Incarnation: uint64(s.now) + uint64(h.run), Peers: peers, AcceptFor: time.Second,
	})
}

// step gives one event to a reducer and takes its effects.
func (s *simulation) step(h *entryHost, event core.Event) {
	if h.exited {
		return
	}
	h.recordStep(s.now)
	h.state.Step(s.now, event, &h.effects)
	effects := append([]core.Effect(nil), h.effects.All()...)
	h.effects.Reset()
	for _, effect := range effects {
		s.applyEffect(h, effect)
	}
}

func (s *simulation) applyEffect(h *entryHost, effect core.Effect) {
	switch e := effect.(type) {
	case core.StartAttempt:
		s.checkLeaving(h, e.Address)
		c := h.calls[e.Attempt.Request]
		s.checkConfirmed(h, c)
		c.attempts = e.Attempt.Number
		h.attempts = append(h.attempts, &attempt{call: c, startEffect: e, host: h, run: h.run})
		s.checkSlots(h, e.Address)
	case core.CancelAttempt:
		for _, a := range h.attempts {
			if a.startEffect.Attempt == e.Attempt {
				a.canceled = true
			}
		}
	case core.PassAnswer:
		s.checkPassed(h, e)
	case core.Refuse:
		s.terminal(h.calls[e.Request], e)
	case core.Fail:
		s.terminal(h.calls[e.Request], e)
	case core.WakeAt:
		if h.wakeAt <= s.now || e.At < h.wakeAt {
			h.wakeAt = e.At
		}
	case core.ReadPart:
		h.reads = append(h.reads, e)
	case core.SendPeer:
		s.inTransit = append(s.inTransit, packet{from: h, to: e.Address, message: e.Message})
	case core.ParseManifest:
		s.parseManifest(h, e.Raw, e.From)
	case core.ParsePart:
		s.parsePart(h, e.Raw, e.From)
	case core.StartProbe:
		s.checkLeaving(h, e.Address)
		s.probes = append(s.probes, s.now)
	case core.SetReady:
		h.ready = e.Ready
	case core.ReportStatus:
		s.checkVersion(h, e.Status.Version)
	case core.Exit:
		s.checkExit(h)
		h.exited = true
	}
}

// arrive sends a caller's request to a host.
func (s *simulation) arrive(h *entryHost, method, path string, bodyKept bool, timeout time.Duration) {
	h.nextID++
	c := &call{number: len(s.calls), idempotent: method == "GET"}
	s.calls = append(s.calls, c)
	h.calls[h.nextID] = c
	s.step(h, core.RequestArrived{
		ID:       h.nextID,
		Request:  config.Request{Method: method, Host: "desk", Path: path},
		Timeout:  timeout,
		BodyKept: bodyKept,
	})
}

// transmit writes the first byte of an attempt, or reports why it could not.
func (s *simulation) transmit(a *attempt, reachable bool) {
	switch {
	case a.canceled:
		s.finish(a, outcome.Facts{Cause: outcome.CauseCanceled})
	case s.now > a.startEffect.StartBefore || s.now >= a.startEffect.Deadline:
		s.finish(a, outcome.Facts{Cause: outcome.CauseExpired})
	case !reachable:
		s.finish(a, outcome.Facts{Cause: outcome.CauseDial})
	default:
		a.started = true
	}
}

// serve lets the backend server take a request that has arrived there.
func (s *simulation) serve(a *attempt, shed bool) {
	if shed {
		a.shed = true
		return
	}
	a.ran = true
	a.call.runs++
	s.checkRun(a.call)
}

// finish reports the end of an attempt. An attempt of an earlier run of its
// host has nobody to report to.
func (s *simulation) finish(a *attempt, facts outcome.Facts) {
	a.ended = true
	h := a.host
	h.removeAttempt(a)
	if a.started && !a.ran && !a.shed {
		s.orphaned = append(s.orphaned, a)
	}
	if a.run != h.run {
		return
	}
	if facts.Cause == outcome.CauseNone {
		a.call.response = a
	}
	s.step(h, core.AttemptFinished{Attempt: a.startEffect.Attempt, Facts: facts})
}

func (h *entryHost) removeAttempt(a *attempt) {
	for i, other := range h.attempts {
		if other == a {
			h.attempts = append(h.attempts[:i], h.attempts[i+1:]...)
			return
		}
	}
}

// facts returns what the transport sees of an attempt whose answer came whole.
func (a *attempt) facts() outcome.Facts {
	f := outcome.Facts{Wrote: true, Status: 200, Load: -1}
	if a.shed {
		f.Status = notRunStatus
		f.NotRunHeader = true
	}
	return f
}

// advance moves the clock in small steps and ticks every host that runs.
func (s *simulation) advance(d time.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(10 * time.Millisecond)
		for _, h := range s.hosts {
			if !h.paused {
				s.tickIfDue(h)
			}
		}
	}
}

func (s *simulation) tickIfDue(h *entryHost) {
	due := s.now >= h.lastTick.Add(core.TickInterval)
	if h.wakeAt > 0 && s.now >= h.wakeAt {
		due = true
		h.wakeAt = 0
	}
	if due {
		h.lastTick = s.now
		s.step(h, core.Tick{})
	}
}
