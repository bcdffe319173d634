package core

import (
	"wisteriapond/config"
	"wisteriapond/outcome"
)

// routeOf returns the service of a request, nil when no route matches. The
// route is nil when the configuration says it all per service.
func (s *State) routeOf(r *config.Request) (*config.CompiledService, *config.Route) {
	if !s.table.Routed() {
		return s.table.Service(r), nil
	}
	route := s.table.Route(r)
	if route == nil {
		return nil, nil
	}
	target := s.splitTarget(route)
	return s.compiledService(target), route
}

// splitTarget divides the requests of a route among its targets by weight.
// Retries stay with the target that was drawn.
func (s *State) splitTarget(route *config.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	drawn := s.random.intN(total)
	for _, target := range route.Targets {
		if drawn < target.Weight {
			return target.Service
		}
		drawn -= target.Weight
	}
	return route.Targets[0].Service
}

// refusalWithout is the reason with which the waiting requests of a removed
// service are refused. Those of a route were allowed when they came.
func (s *State) refusalWithout() outcome.Refusal {
	if s.table.Routed() {
		return outcome.RefusedNoHost
	}
	return outcome.RefusedNoService
}
