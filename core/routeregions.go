package core

import (
	"slices"
	"strings"

	"wisteriapond/queue"
)

// This file applies the regions of the routes in force to requests that arrived
// under an earlier version. Everything else about regions follows from the
// eligible upstreams of a request's group.

// applyRouteRegions gives each request the regions of its route in the
// configuration in force. A request whose route is gone keeps the regions that it
// had. Waiting requests move to the group of their regions, and attempts in
// progress run to their end.
func (s *State) applyRouteRegions() {
	for _, id := range sortedRequests(s.requests) {
		r := s.requests[id]
		if r.route == nil {
			continue
		}
		route := s.table.RouteAt(r.route.Host, r.route.PathPrefix)
		if route == nil || slices.Equal(route.Regions, r.regions) {
			continue
		}
		r.regions = route.Regions
		s.moveToGroup(r)
	}
	s.reportUnknownRegions()
}

// sortedRequests returns the ids of requests in the order of their arrival.
func sortedRequests(requests map[RequestID]*request) []RequestID {
	ids := make([]RequestID, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// moveToGroup moves a waiting request to the group of its regions. Any other
// request gets its group before its next attempt.
func (s *State) moveToGroup(r *request) {
	if !r.queueItem.Queued() {
		return
	}
	svc, old := r.service, r.group
	old.waiting.Remove(&r.queueItem)
	if old.waiting.Len() == 0 {
		svc.waitingGroups = slices.DeleteFunc(svc.waitingGroups, func(g *group) bool { return g == old })
	}
	r.group = svc.groupFor(r.labels, r.regions)
	r.queueItem = queue.Item[*request]{Value: r, At: r.queueItem.At}
	if r.group.waiting.Len() == 0 {
		svc.waitingGroups = append(svc.waitingGroups, r.group)
	}
	r.group.waiting.Add(&r.queueItem)
	s.scheduleDrain(svc)
}

// reportUnknownRegions logs the routes of a new configuration that are kept to
// regions which the settings of this host do not name. The version is in force all
// the same: settings differ between hosts while they are changed, and all hosts
// have to accept the same versions.
func (s *State) reportUnknownRegions() {
	for i := range s.table.Routes() {
		route := &s.table.Routes()[i]
		var unknown []string
		for _, region := range route.Regions {
			if !s.knowsRegion(region) {
				unknown = append(unknown, region)
			}
		}
		if len(unknown) == 0 {
			continue
		}
		s.count(CounterConfigurations, "unknown_region")
		if s.registry.unknownRegionLog.allow(s.now, unknownRegionsPerSecond) {
			s.out.add(Log{Level: LogWarn, Message: "route is kept to regions that the settings do not name", Fields: []LogField{
				{Key: "route", Value: route.String()},
				{Key: "regions", Value: strings.Join(unknown, ", ")},
			}})
		}
	}
}

// unknownRegionsPerSecond bounds the log entries about unknown regions, since a
// configuration may have many routes.
const unknownRegionsPerSecond = 10

// knowsRegion reports whether the settings name a failure domain in the region.
func (s *State) knowsRegion(region string) bool {
	return slices.ContainsFunc(s.self.Registry.Domains, func(d FailureDomain) bool { return d.Region == region })
}
