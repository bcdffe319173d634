package core

import (
	"strconv"
	"time"

	"wisteriapond/budget"
	"wisteriapond/config"
	"wisteriapond/membership"
	"wisteriapond/outcome"
)

const (
	// probeOverhead is the worst case of the bytes of a probe beside its path
	// and the body of the answer: the request's and the answer's heads.
	probeOverhead = 8 << 10
	// measuredFresh is the age up to which a result stands in for a probe, and
	// patience the longest time beyond it that a host leaves the probe to
	// others. Hosts wait for different times, so that they do not all measure
	// an upstream at once.
	measuredFresh = 30 * time.Second
	patience      = 10 * time.Second
	// lookPause is the wait after no upstream was due for a probe.
	lookPause = time.Second
	// maxProbeLook bounds the upstreams looked at for one probe.
	maxProbeLook = 256
	// failedProbeStatus is the first status that counts as a failed probe.
	failedProbeStatus = 500
	// resultSpacing tells two results apart: hosts measure an upstream again
	// only after measuredFresh.
	resultSpacing = 5 * time.Second
)

// probing is the state of measuring backend servers.
type probing struct {
	budget *budget.Probes
	// turn is the place in the order of services and upstreams.
	turn probeTurn
	// wait is how long beyond measuredFresh this host leaves a probe to others.
	wait time.Duration
	// lookAgain is the end of the pause after no upstream was due.
	lookAgain Instant
	results   map[*upstream]measured
	rumors    membership.BroadcastQueue[measuredAt]
	spent     int64
}

type probeTurn struct {
	service  int
	upstream int
}

// measured is the last result for an upstream.
type measured struct {
	at     Instant
	took   time.Duration
	failed bool
}

// measuredAt is a result to be passed on.
type measuredAt struct {
	result Measurement
	at     Instant
}

func (p *probing) init(now Instant) {
	p.budget = budget.NewProbes(time.Duration(now))
	p.results = make(map[*upstream]measured)
}

// updateBudget takes over the budget of the configuration in force. Every
// probe is charged as the most expensive one.
func (s *State) updateBudget() {
	manifest := s.table.Manifest
	var worst int64
	for _, compiled := range s.table.Services() {
		if compiled.Probe.Path != "" {
			worst = max(worst, probeCost(compiled.Probe))
		}
	}
	measuring := manifest.Measuring
	s.probing.budget.SetLimits(measuring.RequestsPerMinute, measuring.BytesPerMinute, manifest.EntryHosts, worst)
	if measuring.RequestsPerMinute > 0 && worst > 0 && s.probing.budget.PerMinute() == 0 {
		s.out.add(Log{Level: LogWarn, Message: "the measuring budget holds no probe", Fields: []LogField{
			{Key: "bytes_per_minute", Value: strconv.FormatInt(measuring.BytesPerMinute, 10)},
			{Key: "entry_hosts", Value: strconv.Itoa(manifest.EntryHosts)},
			{Key: "bytes_per_probe", Value: strconv.FormatInt(worst, 10)},
		}})
	}
	s.placeTurn()
	s.forgetMeasured()
}

// forgetMeasured drops results of upstreams that are gone.
func (s *State) forgetMeasured() {
	kept := make(map[*upstream]measured, len(s.probing.results))
	for _, svc := range s.services {
		for _, u := range svc.upstreams {
			if result, ok := s.probing.results[u]; ok {
				kept[u] = result
			}
		}
	}
	s.probing.results = kept
}

func probeCost(probe config.Probe) int64 {
	return probeOverhead + int64(len(probe.Path)) + probe.AnswerLimit
}

// startProbing lets hosts that start together begin at different upstreams.
func (s *State) startProbing() {
	s.probing.init(s.now)
	s.probing.wait = s.drawPatience()
	s.probing.turn.service = s.random.below(config.MaxServices)
	s.probing.turn.upstream = s.random.below(config.MaxUpstreams)
}

// placeTurn brings the random place of the start into the order in force.
func (s *State) placeTurn() {
	turn := &s.probing.turn
	services := s.table.Services()
	if len(services) == 0 {
		return
	}
	turn.service %= len(services)
	if upstreams := len(services[turn.service].Upstreams); upstreams > 0 {
		turn.upstream %= upstreams
	}
}

func (s *State) tickProbes() {
	if s.table == nil || s.stop.requested {
		return
	}
	at, ok := s.probing.budget.NextAt()
	if !ok || time.Duration(s.now) < at || s.now.Before(s.probing.lookAgain) {
		return
	}
	svc, u := s.nextProbe()
	if u == nil {
		s.probing.lookAgain = s.now.Add(lookPause)
	}
	if u == nil || !s.probing.budget.Allow(time.Duration(s.now)) {
		return
	}
	s.probing.wait = s.drawPatience()
	s.probing.spent += probeCost(svc.config.Probe)
	s.count(CounterProbes, "started")
	s.out.add(Count{Counter: CounterProbeBytes, Add: probeCost(svc.config.Probe)})
	s.out.add(StartProbe{
		Service:     svc.config.Name,
		Upstream:    u.config.Name,
		Address:     u.config.Address,
		StartBefore: s.now.Add(startExpiry),
		Probe:       svc.config.Probe,
		Connections: s.connectionShare(u),
	})
}

// nextProbe returns the next upstream in turn that is not leaving and that
// neither this host nor a peer has measured lately.
func (s *State) nextProbe() (*service, *upstream) {
	services := s.table.Services()
	turn := &s.probing.turn
	for range maxProbeLook {
		if len(services) == 0 {
			return nil, nil
		}
		if turn.service >= len(services) {
			*turn = probeTurn{}
		}
		svc := s.services[services[turn.service].Name]
		if svc.config.Probe.Path == "" || turn.upstream >= len(svc.upstreams) {
			*turn = probeTurn{service: turn.service + 1}
			continue
		}
		u := svc.upstreams[turn.upstream]
		turn.upstream++
		if s.mayProbe(u) {
			return svc, u
		}
	}
	return nil, nil
}

func (s *State) mayProbe(u *upstream) bool {
	if s.leaving(u.config.Host) {
		return false
	}
	result, ok := s.probing.results[u]
	return !ok || s.now.Sub(result.at) >= measuredFresh+s.probing.wait
}

func (s *State) drawPatience() time.Duration {
	return time.Duration(s.random.below(int(patience)))
}

// probeFinished takes the result of an own probe and shares it. A probe that
// did not start stays charged, like one that timed out.
func (s *State) probeFinished(e ProbeFinished) {
	if s.self.Registry != nil {
		s.questionAnswered(e)
		return
	}
	if e.Facts.Cause == outcome.CauseExpired {
		s.count(CounterProbes, "expired")
		return
	}
	result := Measurement{
		Service:  e.Service,
		Upstream: e.Upstream,
		Took:     e.Took,
		Failed:   e.Facts.Cause != outcome.CauseNone || e.Facts.Status >= failedProbeStatus,
		Load:     e.Facts.Load,
	}
	verdict := "answered"
	if result.Failed {
		verdict = "failed"
	}
	s.count(CounterProbes, verdict)
	s.takeMeasurement(result)
	if u := s.upstreamOf(e.Service, e.Upstream); u != nil && e.Facts.Draining {
		s.markLeaving(u.config.Host)
	}
}

// measurementsHeard takes results of peers.
func (s *State) measurementsHeard(results []Measurement) {
	for _, result := range results {
		if s.takeMeasurement(result) {
			s.count(CounterProbes, "from_peer")
		}
	}
}

// takeMeasurement keeps a result that is newer than the one known, and passes
// it on with later messages.
func (s *State) takeMeasurement(result Measurement) bool {
	u := s.upstreamOf(result.Service, result.Upstream)
	if u == nil || result.Age < 0 || result.Age > measuredFresh {
		return false
	}
	at := s.now.Add(-result.Age)
	// A result that comes back over other hosts has aged on the way by what
	// its messages took, so it never looks newer than it is by more than that.
	if known, ok := s.probing.results[u]; ok && at.Sub(known.at) < resultSpacing {
		return false
	}
	s.probing.results[u] = measured{at: at, took: result.Took, failed: result.Failed}
	s.probing.rumors.Add(result.Service+"/"+result.Upstream, measuredAt{result: result, at: at})
	return true
}

func (s *State) upstreamOf(service, name string) *upstream {
	svc := s.services[service]
	if svc == nil {
		return nil
	}
	for _, u := range svc.upstreams {
		if u.config.Name == name {
			return u
		}
	}
	return nil
}

func (s *State) recentMeasurements(peers int) []Measurement {
	var results []Measurement
	for _, m := range s.probing.rumors.Next(measuredPerMessage, peers) {
		m.result.Age = s.now.Sub(m.at)
		results = append(results, m.result)
	}
	return results
}

func (s *State) measuringStatus() MeasuringStatus {
	status := MeasuringStatus{PerMinute: s.probing.budget.PerMinute(), Bytes: s.probing.spent}
	if at, ok := s.probing.budget.NextAt(); ok {
		status.NextIn = max(0, Instant(at).Sub(s.now))
	}
	return status
}
