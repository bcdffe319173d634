package core

import (
	"time"

	"wisteriapond/warmup"
)

// This file connects package warmup, which decides when this host may send a
// request to a cold backend server, with the state of upstreams and of the fleet. It
// applies to services that state the rate which a cold server bears.

const (
	// minWarmReportAge and maxWarmReportAge bound the age up to which a server's
	// report that it is warm permits a request.
	minWarmReportAge = freshReportAge
	maxWarmReportAge = reportLifetime
)

// coldServers is the state that cold upstreams share.
type coldServers struct {
	// hosts holds the hosts of the failure domain of this host; nil without a store.
	hosts *warmup.HostSet
	// contacted is set once another entry host has responded, polled or was named.
	contacted bool
	log       logRateLimit
}

// coldLogsPerSecond bounds the log entries about upstreams that turn cold.
const coldLogsPerSecond = 5

func (s *State) startColdServers() {
	s.cold.hosts = warmup.NewHostSet(s.self.Host, s.self.FailureDomain)
}

// tickColdServers lets this host use its turns once it had time to learn of the
// other hosts. A host that has reason to expect others, but has heard of none, may
// be cut off from hosts that use all turns.
func (s *State) tickColdServers() {
	hosts := s.cold.hosts
	hosts.Expire(time.Duration(s.now))
	if !hosts.Active() && s.now.Sub(s.registry.fleet.startedAt) >= fleetLearnTime && (s.cold.contacted || !s.expectsOthers()) {
		hosts.Activate(time.Duration(s.now))
	}
}

// expectsOthers reports whether the settings name other entry hosts.
func (s *State) expectsOthers() bool {
	if s.self.Registry.Address == "" {
		return false
	}
	for _, seed := range s.self.Registry.Seeds {
		if seed != s.self.Registry.Address {
			return true
		}
	}
	return false
}

// coldLimit returns what a cold upstream of the service bears.
func (s *State) coldLimit(svc *service) warmup.Limit {
	return warmup.Limit{Rate: svc.config.ColdRate, Percent: s.self.Registry.WarmUpPercent, Slack: s.self.Registry.WarmUpSlack}
}

// limitsCold reports whether requests to cold upstreams of the service are limited.
func (svc *service) limitsCold() bool { return svc.config.ColdRate > 0 }

// admits reports whether a request may start on the upstream now as far as its
// warm-up goes. First attempts, retries, trials and waiting requests all pass this
// check.
func (s *State) admits(u *upstream) bool {
	switch {
	case !u.service.limitsCold():
		return true
	case u.warmUp == nil:
		spacing := s.spacingOf(u)
		return spacing == nil || spacing.Wait(time.Duration(s.now)) == 0
	}
	if u.service.config.Probe.Path == "" {
		// The registration is all that is known.
		return !u.warmUp.Cold(time.Duration(s.now))
	}
	limit := s.coldLimit(u.service)
	return u.warmUp.Permits(time.Duration(s.now), s.warmReportAge(u, limit), limit, s.cold.hosts)
}

// warmReportAge returns the age up to which a report of the upstream permits a
// request.
func (s *State) warmReportAge(u *upstream, limit warmup.Limit) time.Duration {
	return limit.ReportAge(u.config.Slots, u.service.serviceTime(), minWarmReportAge, maxWarmReportAge)
}

// mayAskWarmUp reports whether a load query of the upstream could permit a request.
func (s *State) mayAskWarmUp(u *upstream) bool {
	if !u.service.limitsCold() || u.warmUp == nil {
		return true
	}
	return u.warmUp.MayAsk(time.Duration(s.now), s.coldLimit(u.service), s.cold.hosts)
}

// mayStart reports whether a request of this host may start on the upstream now.
func (s *State) mayStart(u *upstream) bool { return u.accepts(s.now) && s.admits(u) }

// takeColdTurn records that a request starts on the upstream.
func (s *State) takeColdTurn(u *upstream) {
	if !u.service.limitsCold() {
		return
	}
	now := time.Duration(s.now)
	switch {
	case u.warmUp != nil && u.warmUp.Cold(now):
		u.warmUp.Take(now, s.coldLimit(u.service), s.cold.hosts)
		s.count(CounterColdStarts, u.service.config.Name)
	case u.warmUp == nil && s.spacingOf(u) != nil:
		u.spacing.Take(now, u.service.config.ColdRate, s.table.Manifest.EntryHosts)
		s.count(CounterColdStarts, u.service.config.Name)
	}
}

// coldWait returns the time until the upstream admits a request of this host as far
// as its warm-up goes.
func (s *State) coldWait(u *upstream) time.Duration {
	now := time.Duration(s.now)
	switch {
	case !u.service.limitsCold():
		return 0
	case u.warmUp != nil && u.service.config.Probe.Path == "":
		return u.warmUp.Left(now)
	case u.warmUp != nil:
		return u.warmUp.Wait(now, s.coldLimit(u.service), s.cold.hosts)
	case s.spacingOf(u) != nil:
		return min(u.spacing.Wait(now), u.health.WarmUpLeft(now, u.service.config.ColdStart))
	}
	return 0
}

// spacingOf returns the spacing of requests to an upstream that warms up and does
// not report it, nil if it is warm.
func (s *State) spacingOf(u *upstream) *warmup.Spacing {
	now := time.Duration(s.now)
	if u.health.WarmUpLeft(now, u.service.config.ColdStart) == 0 {
		u.spacing = nil
	} else if u.spacing == nil {
		u.spacing = warmup.NewSpacing(now, u.service.config.ColdRate, s.table.Manifest.EntryHosts, s.random.intN)
	}
	return u.spacing
}

// updateWarmUp gives each upstream of a routed service the state of its warm-up, and
// the failure domains whose hosts share its turns.
func (s *State) updateWarmUp(svc *service) {
	if !s.table.Routed() {
		return
	}
	if !svc.limitsCold() {
		for _, u := range svc.upstreams {
			u.warmUp = nil
		}
		return
	}
	without := s.domainsWithout(svc)
	for _, u := range svc.upstreams {
		domains := append([]uint64{warmup.Domain(u.config.FailureDomain)}, without...)
		if u.warmUp != nil {
			u.warmUp.SetDomains(domains)
			continue
		}
		u.warmUp = warmup.NewServer(u.config.Host, domains)
		u.warmUp.Registered(time.Duration(s.now), u.warmUpUntil.Sub(s.now))
	}
}

// domainsWithout returns the failure domains of the settings that have no upstream
// of the service. Their hosts share the turns of all its upstreams.
func (s *State) domainsWithout(svc *service) []uint64 {
	with := make(map[string]bool)
	for _, u := range svc.upstreams {
		with[u.config.FailureDomain] = true
	}
	var without []uint64
	for _, d := range s.self.Registry.Domains {
		if !with[d.Name] {
			without = append(without, warmup.Domain(d.Name))
		}
	}
	return without
}

// applyRegisteredWarmUp applies the remaining warm-up time of a changed entry.
func (s *State) applyRegisteredWarmUp(server *Server) {
	if server.ColdFor <= 0 {
		return
	}
	for _, u := range s.upstreamsOf[instanceName(server)] {
		if u.warmUp != nil {
			u.warmUp.Registered(time.Duration(s.now), server.ColdFor)
			u.warmUpUntil = max(u.warmUpUntil, s.now.Add(server.ColdFor))
		}
	}
}

// applyWarmUpReport applies what the response to a load query says of the warm-up.
func (s *State) applyWarmUpReport(u *upstream, left time.Duration, stated bool) {
	if u.warmUp == nil {
		return
	}
	now := time.Duration(s.now)
	known := u.warmUp.Reported(now)
	u.warmUp.Report(now, left, stated)
	u.warmUpUntil = s.now.Add(u.warmUp.Left(now))
	if !known && u.warmUp.Reported(now) {
		s.count(CounterColdReports, u.service.config.Name)
		if s.cold.log.allow(s.now, coldLogsPerSecond) {
			s.out.add(Log{Message: "backend server is cold", Fields: []LogField{
				{Key: "server", Value: u.config.Name},
				{Key: "service", Value: u.service.config.Name},
				{Key: "left", Value: u.warmUp.Left(now).String()},
			}})
		}
	}
}

// askBeforeTrial queries the load of an ejected upstream, whose report is needed for
// a trial. Ordinary requests do not query it.
func (s *State) askBeforeTrial(u *upstream) {
	if u.warmUp != nil && u.service.config.Probe.Path != "" && s.mayAskWarmUp(u) {
		s.startLoadQuery(u)
	}
}

// coldFor returns the remaining warm-up time of an upstream to which requests are
// limited, 0 if it is warm.
func (s *State) coldFor(u *upstream) time.Duration {
	now := time.Duration(s.now)
	switch {
	case !u.service.limitsCold():
		return 0
	case u.warmUp != nil:
		return u.warmUp.Left(now)
	}
	return u.health.WarmUpLeft(now, u.service.config.ColdStart)
}

func (s *State) coldStatus() ColdStatus {
	var status ColdStatus
	if hosts := s.cold.hosts; hosts != nil {
		status.Hosts, status.Active = hosts.Size(), hosts.Active()
	}
	for _, name := range sortedKeys(s.services) {
		for _, u := range s.services[name].upstreams {
			if s.coldFor(u) > 0 {
				status.Upstreams++
			}
		}
	}
	return status
}
