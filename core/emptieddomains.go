package core

import (
	"slices"
	"strconv"
	"time"

	"wisteriapond/evacuation"
	"wisteriapond/storeage"
)

// This file applies the marks of failure domains that the operators have emptied:
// those of a store, of other entry hosts that read it, and of the manifest.
// Everything about requests follows from the eligible upstreams of their groups.

// Sources of a change of a failure domain, in log entries.
const (
	domainSourceStore         = "store"
	domainSourceNeighbour     = "neighbour"
	domainSourceConfiguration = "configuration"
)

// emptiedDomains is what this host knows of emptied failure domains from a store.
type emptiedDomains struct {
	table evacuation.Table
	// verify is set if another host knows a mark that the state of this host should
	// have held. Only a complete listing that starts later tells whether the domain is
	// back, see storeCall.verifies.
	verify bool
	// keepUntil is the end of the time in which marks of an earlier era hold although
	// the store lacks them, 0 if there are none.
	keepUntil Instant
}

// domainLossGrace is the time that the operators have to empty a domain again after
// the store has come back from a copy without the mark. A domain that stays emptied
// too long costs less than one that gets requests too early.
const domainLossGrace = 5 * time.Second

// domainEmptied reports whether the operators have emptied a failure domain.
func (s *State) domainEmptied(domain string) bool {
	return s.registry.domains.table.Emptied(domain) || s.table != nil && slices.Contains(s.table.Manifest.EmptiedDomains, domain)
}

// domainsChanged applies the marks of a watch. They hold even if the rest of the
// response is outdated, since each is ordered by its own revision.
func (s *State) domainsChanged(marks []DomainMark) {
	changed := false
	for _, m := range marks {
		changed = s.learnDomain(m, domainSourceStore) || changed
	}
	if changed {
		s.updateEmptied()
	}
}

// domainsListed applies the marks of a listing. One that may be stale takes no domain
// back: its pages may be of different ages. verified is set if the listing started after
// the last unexpected mark.
func (s *State) domainsListed(e *StoreListed, verified bool) {
	if e.Stale {
		s.domainsChanged(e.Domains)
		return
	}
	if verified {
		s.registry.domains.verify = false
	}
	marks := make([]evacuation.Mark, 0, len(e.Domains))
	for _, m := range e.Domains {
		marks = append(marks, evacuation.Mark(m))
	}
	changed := s.registry.domains.table.Listed(e.Era, e.Revision, marks, s.keepsEarlierMarks(e.Era))
	for _, domain := range changed {
		s.reportDomain(s.registry.domains.table.Mark(domain), domainSourceStore)
	}
	if len(changed) > 0 {
		s.updateEmptied()
	}
}

// keepsEarlierMarks reports whether marks of eras before the given one, which the store
// has reached, still hold although the store lacks them.
func (s *State) keepsEarlierMarks(era uint64) bool {
	d := &s.registry.domains
	if era > s.registry.era && d.table.EmptiedBefore(era) {
		d.keepUntil = s.now.Add(domainLossGrace)
		s.scheduleTick(d.keepUntil)
	}
	return s.now.Before(d.keepUntil)
}

// tickEmptiedDomains reads the complete store again once marks of an earlier era no
// longer hold without it.
func (s *State) tickEmptiedDomains() {
	d := &s.registry.domains
	if d.keepUntil == 0 || s.now.Before(d.keepUntil) {
		return
	}
	d.keepUntil = 0
	if d.table.EmptiedBefore(s.registry.era) {
		s.verifyDomains()
	}
}

// domainsReceived applies the marks of another entry host, and reports whether any
// domain has changed, so that the marks have to be passed on.
func (s *State) domainsReceived(marks []DomainMark) (changed bool) {
	for _, m := range marks[:min(len(marks), evacuation.MaxDomains)] {
		at := storeage.Age{Era: m.Era, Revision: m.Revision}
		unexpected := m.Emptied && !s.registry.age().Before(at) && !s.registry.domains.table.Known(m.Domain)
		if !s.learnDomain(m, domainSourceNeighbour) {
			continue
		}
		changed = true
		switch {
		case unexpected && m.Era < s.registry.era:
			// This host has not seen the era of the mark, which the store may have lost.
			s.registry.domains.keepUntil = s.now.Add(domainLossGrace)
			s.scheduleTick(s.registry.domains.keepUntil)
		case unexpected:
			s.verifyDomains()
		}
	}
	if changed {
		s.updateEmptied()
	}
	return changed
}

// verifyDomains requests a listing that starts later than now.
func (s *State) verifyDomains() {
	s.registry.domains.verify = true
	for i := range s.registry.calls.pending {
		s.registry.calls.pending[i].verifies = false
	}
}

func (s *State) learnDomain(m DomainMark, source string) (changed bool) {
	mark := evacuation.Mark(m)
	changed = s.registry.domains.table.Learn(mark)
	if changed {
		s.reportDomain(mark, source)
	}
	return changed
}

// reportDomain counts and logs a failure domain that was emptied or taken back.
func (s *State) reportDomain(m evacuation.Mark, source string) {
	message, change := "failure domain taken back", "taken_back"
	if m.Emptied {
		message, change = "failure domain emptied", "emptied"
	}
	s.count(CounterDomainChanges, change)
	s.out.add(Log{Message: message, Fields: []LogField{
		{Key: "domain", Value: m.Domain},
		{Key: "source", Value: source},
		{Key: "revision", Value: strconv.FormatUint(m.Revision, 10)},
	}})
}

// reportConfiguredDomains reports the domains that differ between the emptied ones
// of the previous manifest and those of the one in force.
func (s *State) reportConfiguredDomains(previous []string) {
	current := s.table.Manifest.EmptiedDomains
	for _, domain := range current {
		if !slices.Contains(previous, domain) {
			s.reportDomain(evacuation.Mark{Domain: domain, Emptied: true, Revision: s.table.Version.Generation}, domainSourceConfiguration)
		}
	}
	for _, domain := range previous {
		if !slices.Contains(current, domain) {
			s.reportDomain(evacuation.Mark{Domain: domain, Revision: s.table.Version.Generation}, domainSourceConfiguration)
		}
	}
}

// updateEmptied applies the emptied domains to all upstreams. Waiting requests go to
// others, or are refused if there are none. Requests in progress run to their end.
func (s *State) updateEmptied() {
	for _, name := range sortedKeys(s.services) {
		svc := s.services[name]
		changed := false
		for _, u := range svc.upstreams {
			if emptied := s.domainEmptied(u.config.FailureDomain); emptied != u.emptied {
				changed = true
				s.setEmptied(u, emptied)
			}
		}
		if changed {
			svc.updateGroups()
			s.scheduleDrain(svc)
		}
	}
}

// setEmptied applies a changed state of its failure domain to an upstream. Nothing
// that was known of its load and speed holds when the domain is taken back: its
// server may have become cold meanwhile.
func (s *State) setEmptied(u *upstream, emptied bool) {
	u.emptied = emptied
	if emptied {
		return
	}
	u.reported = reportedLoad{}
	u.load = -1
	if !s.table.Routed() {
		u.health.StartWarmUp(time.Duration(s.now))
	}
}

// domainMarks returns the marks to pass on to other entry hosts.
func (s *State) domainMarks() []DomainMark {
	var marks []DomainMark
	for _, m := range s.registry.domains.table.Marks() {
		marks = append(marks, DomainMark(m))
	}
	return marks
}

// emptiedDomainNames returns the emptied failure domains, for the status report.
func (s *State) emptiedDomainNames() []string {
	names := s.registry.domains.table.Domains()
	if s.table != nil {
		names = append(names, s.table.Manifest.EmptiedDomains...)
	}
	return names
}
