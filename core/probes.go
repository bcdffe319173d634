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
	// probeOverheadBytes is the largest size of a probe without its path and the
	// response body: the header sections of the request and the response.
	probeOverheadBytes = 8 << 10
	// measurementLifetime is the age up to which a result replaces a probe, and
	// maxProbeDelay is the longest additional time for which a host leaves the
	// probe to others. Each host draws its delay at random, so that they do not
	// all probe an upstream at the same time.
	measurementLifetime = 30 * time.Second
	maxProbeDelay       = 10 * time.Second
	// probeScanPause is the pause after a scan that found no upstream due for a
	// probe.
	probeScanPause = time.Second
	// maxProbeScan bounds the services and upstreams examined in one scan.
	maxProbeScan = 256
	// failedProbeStatus is the lowest response status that counts as a failed
	// probe.
	failedProbeStatus = 500
	// minResultSpacing separates a new result from a copy of the known one: hosts
	// probe an upstream again only after measurementLifetime.
	minResultSpacing = 5 * time.Second
)

// probing is the state of probing backend servers within the measuring budget.
type probing struct {
	budget *budget.Probes
	// cursor is the position in the order of services and upstreams.
	cursor probeCursor
	// delay is the time beyond measurementLifetime for which this host leaves the
	// next probe to others.
	delay time.Duration
	// nextScan is the end of the pause after a scan that found no upstream due.
	nextScan   Instant
	results    map[*upstream]probeResult
	broadcasts membership.BroadcastQueue[sharedResult]
	// spentBytes is the sum of the worst-case bytes of all started probes.
	spentBytes int64
}

type probeCursor struct {
	service  int
	upstream int
}

// probeResult is the last result for an upstream.
type probeResult struct {
	at     Instant
	took   time.Duration
	failed bool
}

// sharedResult is a result that is queued for propagation to peers.
type sharedResult struct {
	result Measurement
	at     Instant
}

func (p *probing) init(now Instant) {
	p.budget = budget.NewProbes(time.Duration(now))
	p.results = make(map[*upstream]probeResult)
}

// updateBudget applies the measuring budget of the configuration in force. Every
// probe is charged at the cost of the most expensive one.
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
		s.out.add(Log{Level: LogWarn, Message: "share of the measuring budget is too small for one probe per minute", Fields: []LogField{
			{Key: "bytes_per_minute", Value: strconv.FormatInt(measuring.BytesPerMinute, 10)},
			{Key: "entry_hosts", Value: strconv.Itoa(manifest.EntryHosts)},
			{Key: "bytes_per_probe", Value: strconv.FormatInt(worst, 10)},
		}})
	}
	s.wrapCursor()
	s.pruneResults()
}

// pruneResults removes the results of upstreams that no longer exist.
func (s *State) pruneResults() {
	kept := make(map[*upstream]probeResult, len(s.probing.results))
	for _, svc := range s.services {
		for _, u := range svc.upstreams {
			if result, ok := s.probing.results[u]; ok {
				kept[u] = result
			}
		}
	}
	s.probing.results = kept
}

// probeCost returns the worst-case number of bytes of a probe.
func probeCost(probe config.Probe) int64 {
	return probeOverheadBytes + int64(len(probe.Path)) + probe.AnswerLimit
}

// startProbing chooses a random start position, so that hosts that start at the
// same time probe different upstreams.
func (s *State) startProbing() {
	s.probing.init(s.now)
	s.probing.delay = s.drawProbeDelay()
	s.probing.cursor.service = s.random.intN(config.MaxServices)
	s.probing.cursor.upstream = s.random.intN(config.MaxUpstreams)
}

// wrapCursor brings the random start position into the range of the services and
// upstreams in force.
func (s *State) wrapCursor() {
	cursor := &s.probing.cursor
	services := s.table.Services()
	if len(services) == 0 {
		return
	}
	cursor.service %= len(services)
	if upstreams := len(services[cursor.service].Upstreams); upstreams > 0 {
		cursor.upstream %= upstreams
	}
}

// tickProbes starts the next probe if the budget allows one and an upstream is
// due.
func (s *State) tickProbes() {
	if s.table == nil || s.stop.requested {
		return
	}
	at, ok := s.probing.budget.NextAt()
	if !ok || time.Duration(s.now) < at || s.now.Before(s.probing.nextScan) {
		return
	}
	svc, u := s.nextProbe()
	if u == nil {
		s.probing.nextScan = s.now.Add(probeScanPause)
	}
	if u == nil || !s.probing.budget.Allow(time.Duration(s.now)) {
		return
	}
	s.probing.delay = s.drawProbeDelay()
	s.probing.spentBytes += probeCost(svc.config.Probe)
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

// nextProbe returns the next upstream in rotation that is not leaving and that
// neither this host nor a peer has probed recently, or nil if a scan of
// maxProbeScan steps finds none.
func (s *State) nextProbe() (*service, *upstream) {
	services := s.table.Services()
	cursor := &s.probing.cursor
	for range maxProbeScan {
		if len(services) == 0 {
			return nil, nil
		}
		if cursor.service >= len(services) {
			*cursor = probeCursor{}
		}
		svc := s.services[services[cursor.service].Name]
		if svc.config.Probe.Path == "" || cursor.upstream >= len(svc.upstreams) {
			*cursor = probeCursor{service: cursor.service + 1}
			continue
		}
		u := svc.upstreams[cursor.upstream]
		cursor.upstream++
		if s.mayProbe(u) {
			return svc, u
		}
	}
	return nil, nil
}

// mayProbe reports whether an upstream is not leaving and has no recent result.
func (s *State) mayProbe(u *upstream) bool {
	if s.leaving(u.config.Host) || !u.accepts(s.now) {
		return false
	}
	result, ok := s.probing.results[u]
	return !ok || s.now.Sub(result.at) >= measurementLifetime+s.probing.delay
}

// drawProbeDelay returns a random delay below maxProbeDelay.
func (s *State) drawProbeDelay() time.Duration {
	return time.Duration(s.random.intN(int(maxProbeDelay)))
}

// probeFinished records the result of a local probe and queues it for propagation.
// A probe that was not started stays charged, like one that timed out.
func (s *State) probeFinished(e ProbeFinished) {
	if s.self.Registry != nil {
		s.loadQueryFinished(e)
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
	s.applyMeasurement(result)
	if u := s.upstreamOf(e.Service, e.Upstream); u != nil {
		s.applyAnnouncements(u, e.Facts)
	}
}

// measurementsReceived records probe results of peers.
func (s *State) measurementsReceived(results []Measurement) {
	for _, result := range results {
		if s.applyMeasurement(result) {
			s.count(CounterProbes, "from_peer")
		}
	}
}

// applyMeasurement records a result that is newer than the known one, and queues
// it to be attached to later messages. It reports whether the result was recorded.
func (s *State) applyMeasurement(result Measurement) bool {
	u := s.upstreamOf(result.Service, result.Upstream)
	if u == nil || result.Age < 0 || result.Age > measurementLifetime {
		return false
	}
	at := s.now.Add(-result.Age)
	// The age of a relayed result does not include the transit time of its
	// messages, so a copy that comes back here seems newer than the original by
	// that time. Only a result that is newer by minResultSpacing counts as new.
	if known, ok := s.probing.results[u]; ok && at.Sub(known.at) < minResultSpacing {
		return false
	}
	s.probing.results[u] = probeResult{at: at, took: result.Took, failed: result.Failed}
	s.probing.broadcasts.Add(result.Service+"/"+result.Upstream, sharedResult{result: result, at: at})
	return true
}

// upstreamOf returns an upstream by name, or nil if the service or the upstream
// does not exist.
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

// measurementsToSend returns the probe results to attach to the next message, with
// their ages at this instant. peers is the size of the fleet, which determines how
// often a result is sent.
func (s *State) measurementsToSend(peers int) []Measurement {
	var results []Measurement
	for _, m := range s.probing.broadcasts.Next(measurementsPerMessage, peers) {
		m.result.Age = s.now.Sub(m.at)
		results = append(results, m.result)
	}
	return results
}

func (s *State) measuringStatus() MeasuringStatus {
	status := MeasuringStatus{PerMinute: s.probing.budget.PerMinute(), Bytes: s.probing.spentBytes}
	if at, ok := s.probing.budget.NextAt(); ok {
		status.NextIn = max(0, Instant(at).Sub(s.now))
	}
	return status
}
