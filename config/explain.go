package config

import (
	"slices"
	"strings"

	"wisteriapond/label"
)

// Explanation lists the upstreams that may serve a request, and the reasons
// that exclude the others.
type Explanation struct {
	// Generation is the generation of the active configuration, 0 if there is
	// none.
	Generation uint64
	// Service is the service that the request belongs to, empty if no service
	// matches. A route with several targets names them all, separated by commas.
	Service    string
	Labels     label.Set
	Idempotent bool
	Long       bool
	// Route is the route of the request, empty if the configuration defines
	// services without routes.
	Route string
	// Regions are the regions that the route or the service allows, empty for every
	// region.
	Regions   []string
	Upstreams []ExplainedUpstream
}

// ExplainedUpstream is an upstream with the reason that excludes it, if any.
type ExplainedUpstream struct {
	Name          string
	Service       string
	Host          string
	Region        string
	FailureDomain string
	Labels        label.Set
	Eligible      bool
	// Selector and Term are the host selector that excludes the upstream and
	// the term of it that does not match. Both are empty if the selectors allow
	// the upstream.
	Selector string
	Term     string
	// State is a reason other than selectors, such as "leaving". It is empty if
	// there is none.
	State string
}

// Explain returns how the table routes a request by routes or service matches,
// selectors and allowed regions.
func (t *Table) Explain(r *Request) Explanation {
	if t.Routed() {
		return t.explainRoute(r)
	}
	service := t.Service(r)
	if service == nil {
		return Explanation{Generation: t.Version.Generation}
	}
	labels := service.RequestLabels(r)
	explanation := Explanation{
		Generation: t.Version.Generation,
		Service:    service.Name,
		Labels:     labels,
		Idempotent: service.Idempotent(r.Method, labels),
		Long:       service.Long(labels),
		Regions:    service.AllowedRegions,
	}
	explanation.addUpstreams(service)
	return explanation
}

// explainRoute explains a request of a table built from a routing configuration.
func (t *Table) explainRoute(r *Request) Explanation {
	explanation := Explanation{Generation: t.Version.Generation}
	route := t.Route(r)
	if route == nil {
		return explanation
	}
	explanation.Route = route.Name
	explanation.Regions = route.Regions
	explanation.Idempotent = route.Repeat != AtMostOnce
	var names []string
	for _, target := range route.Targets {
		i, found := slices.BinarySearchFunc(t.services, target.Service, compareName)
		if !found || target.Weight == 0 {
			continue
		}
		names = append(names, target.Service)
		explanation.addUpstreams(t.services[i])
	}
	explanation.Service = strings.Join(names, ",")
	return explanation
}

// addUpstreams adds the upstreams of a service, with the reasons that exclude them.
func (e *Explanation) addUpstreams(service *CompiledService) {
	for _, u := range service.Upstreams {
		eligible, selector, term := service.Eligible(e.Labels, u)
		state := ""
		if !RegionAllowed(e.Regions, u.Region) {
			eligible, state = false, RegionNotAllowed
		}
		e.Upstreams = append(e.Upstreams, ExplainedUpstream{
			Name:          u.Name,
			Service:       service.Name,
			Host:          u.Host,
			Region:        u.Region,
			FailureDomain: u.FailureDomain,
			Labels:        u.LabelSet,
			Eligible:      eligible,
			Selector:      selector,
			Term:          term,
			State:         state,
		})
	}
}
