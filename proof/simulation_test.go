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

// call is a request of a caller, with the state that the oracle tracks for it.
type call struct {
	number     int
	idempotent bool
	// runs is the number of times that a backend server ran the request.
	runs int
	// terminal holds the effects that ended the request: PassAnswer, Refuse or
	// Fail.
	terminal []core.Effect
	// attempts is the number of the latest attempt.
	attempts int
	// response is the attempt whose response the transport holds: a complete
	// one, or the start of a streamed one.
	response *attempt
	// disconnected is set when the caller has disconnected.
	disconnected bool
	// lost is set when the entry host was restarted before the request ended.
	// The caller sees a closed connection, and no terminal effect is expected.
	lost bool
}

// attempt is an attempt to send a request to a backend server.
type attempt struct {
	call        *call
	startEffect core.StartAttempt
	host        *entryHost
	// run is the run of host that started the attempt.
	run int
	// started is set when the first byte has been written.
	started bool
	// ran and shed are set when the backend server has run or rejected the
	// request.
	ran       bool
	shed      bool
	streaming bool
	canceled  bool
	ended     bool
}

// entryHost is a reducer with the state that its transport keeps.
type entryHost struct {
	name    string
	address string
	// run is the number of times that the host was started.
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
	// reads holds the pending reads from the configuration service.
	reads []core.ReadPart
	// lastStep is the instant of the last event. Until unconfirmedUntil, a host
	// that was paused must not start non-idempotent requests unless a peer or
	// the platform has responded since.
	lastStep         core.Instant
	unconfirmedUntil core.Instant
	// leavingSince maps each backend host to the instant at which this run of the
	// entry host first received an entry that marks it as leaving.
	leavingSince map[string]core.Instant
}

// packet is a message in transit between entry hosts.
type packet struct {
	from    *entryHost
	to      string
	message core.Message
}

// simulation simulates the clock, the transport, the platform and the backend
// servers.
type simulation struct {
	t     *rapid.T
	now   core.Instant
	hosts []*entryHost
	calls []*call
	// orphaned holds attempts that have ended at the entry host but that a
	// backend server may still run.
	orphaned  []*attempt
	inTransit []packet
	// generations holds the published generations, the first one at index 0.
	generations   []publishedConfig
	hostList      []core.HostEntry
	pastHostLists [][]core.HostEntry
	// partitioned is set while messages between entry hosts are lost.
	partitioned bool
	// probes holds the instants of the probes of all hosts.
	probes []core.Instant
}

// publishedConfig is a generation published at the configuration service.
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

// start starts or restarts a host. No state of an earlier run is kept.
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

// step applies an event to the reducer of a host and carries out its effects.
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

// transmit writes the first byte of an attempt, or ends the attempt if that is
// not possible.
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

// serve makes the backend server run or reject the request of an attempt.
func (s *simulation) serve(a *attempt, shed bool) {
	if shed {
		a.shed = true
		return
	}
	a.ran = true
	a.call.runs++
	s.checkRun(a.call)
}

// finish reports the end of an attempt to its host, unless the host has been
// restarted since.
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

// facts returns the facts that the transport reports for an attempt with a
// complete response.
func (a *attempt) facts() outcome.Facts {
	f := outcome.Facts{Wrote: true, Status: 200, Load: -1}
	if a.shed {
		f.Status = notRunStatus
		f.NotRunHeader = true
	}
	return f
}

// advance moves the clock in steps of 10 ms and ticks every host that is not
// paused.
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
