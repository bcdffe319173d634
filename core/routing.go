package core

import (
	"wisteriapond/config"
	"wisteriapond/outcome"
)

// routeOf returns the service and the route of a request. The service is nil if
// none matches. The route is nil if the configuration defines services without
// routes.
func (s *State) routeOf(r *config.Request) (*config.CompiledService, *config.Route) {
	if !s.table.Routed() {
		return s.table.Service(r), nil
	}
	route := s.table.Route(r)
	if route == nil {
		return nil, nil
	}
	target := s.drawTarget(route)
	return s.compiledService(target), route
}

// drawTarget distributes the requests of a route among its targets by weight.
// Retries stay with the drawn target.
func (s *State) drawTarget(route *config.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	draw := s.random.intN(total)
	for _, target := range route.Targets {
		if draw < target.Weight {
			return target.Service
		}
		draw -= target.Weight
	}
	return route.Targets[0].Service
}

// refusalForRemovedService returns the reason with which the waiting requests of
// a removed service are refused. Routed requests matched a route when they
// arrived, so what they lack is a host.
func (s *State) refusalForRemovedService() outcome.Refusal {
	if s.table.Routed() {
		return outcome.RefusedNoHost
	}
	return outcome.RefusedNoService
}
