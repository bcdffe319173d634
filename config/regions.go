package config

import (
	"fmt"
	"slices"
	"strings"
)

// maxRegions bounds the regions that a route or a service may be kept to.
const maxRegions = 64

// RegionNotAllowed is the state of an upstream in an explanation that stands in a
// region to which the route or the service is not kept.
const RegionNotAllowed = "region not allowed"

// RegionAllowed reports whether a list of regions allows the given one. An empty
// list allows every region.
func RegionAllowed(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// regions checks a list of regions to which a route or a service is kept.
func (c *checker) regions(field string, regions []string) {
	c.require(len(regions) <= maxRegions, field, "must have at most %d regions", maxRegions)
	for i, region := range regions {
		ok := region != "" && len(region) <= maxNameBytes
		c.require(ok, field, "invalid region %q", region)
		c.require(!slices.Contains(regions[:i], region), field, "the region %q is listed more than once", region)
	}
}

// unknownRegions returns a problem for each region to which a service is kept and
// in which no upstream of any service stands. A region that has upstreams, though
// none of this service, is accepted: they may be added later.
func (t *Table) unknownRegions() []Problem {
	known := make(map[string]bool)
	for _, service := range t.services {
		for _, u := range service.Upstreams {
			known[u.Region] = true
		}
	}
	var problems []Problem
	for _, service := range t.services {
		for i, region := range service.AllowedRegions {
			if known[region] {
				continue
			}
			problems = append(problems, Problem{
				Document: partFile(service.Name),
				Field:    fmt.Sprintf("allowed_regions[%d]", i),
				Reason:   fmt.Sprintf("no upstream of any service is in the region %q", region),
			})
		}
	}
	return problems
}

// unknownDomains returns a problem for each emptied failure domain in which no
// upstream stands: most likely its name is misspelt.
func (t *Table) unknownDomains() []Problem {
	known := make(map[string]bool)
	for _, service := range t.services {
		for _, u := range service.Upstreams {
			known[u.FailureDomain] = true
		}
	}
	var problems []Problem
	for i, domain := range t.Manifest.EmptiedDomains {
		if !known[domain] {
			problems = append(problems, Problem{
				Document: manifestFile,
				Field:    fmt.Sprintf("emptied_domains[%d]", i),
				Reason:   fmt.Sprintf("no upstream of any service is in the failure domain %q", domain),
			})
		}
	}
	return problems
}

// RouteAt returns the route with exactly the given host and path prefix, or nil if
// there is none.
func (t *Table) RouteAt(host, pathPrefix string) *Route {
	if t.hostRoutes == nil {
		return nil
	}
	p := t.hostRoutes.hosts[strings.ToLower(host)]
	if p == nil {
		return nil
	}
	return p.routes[pathPrefix]
}

// Routes returns the routes of the table in the order of the configuration, nil
// for a table built from service parts.
func (t *Table) Routes() []Route { return t.routeList }
