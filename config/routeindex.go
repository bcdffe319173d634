package config

import "slices"

// routeIndex finds the route of a request without scanning every service. The
// cost of a lookup is proportional to the number of distinct path prefix
// lengths of the host.
type routeIndex struct {
	hosts map[string]*prefixIndex
}

// prefixIndex maps path prefixes to the routes of one host name.
type prefixIndex struct {
	routes map[string][]route
	// lengths are the distinct lengths of the prefixes, longest first.
	lengths []int
}

// newRouteIndex returns an index of routes that are sorted by compareRoutes.
func newRouteIndex(routes []route) routeIndex {
	x := routeIndex{hosts: make(map[string]*prefixIndex)}
	for _, r := range routes {
		host := hostName(r.match.Host)
		p := x.hosts[host]
		if p == nil {
			p = &prefixIndex{routes: make(map[string][]route)}
			x.hosts[host] = p
		}
		p.add(r)
	}
	return x
}

func (p *prefixIndex) add(r route) {
	prefix := r.match.PathPrefix
	if !slices.Contains(p.lengths, len(prefix)) {
		p.lengths = append(p.lengths, len(prefix))
	}
	p.routes[prefix] = append(p.routes[prefix], r)
}

// find returns the service of the most specific match, or nil if none matches. A
// match for the host of the request takes precedence over one for any host.
func (x *routeIndex) find(r *Request) *CompiledService {
	if service := x.hosts[hostName(r.Host)].find(r); service != nil {
		return service
	}
	return x.hosts[""].find(r)
}

func (p *prefixIndex) find(r *Request) *CompiledService {
	if p == nil {
		return nil
	}
	for _, length := range p.lengths {
		if length > len(r.Path) {
			continue
		}
		routes := p.routes[r.Path[:length]]
		for i := range routes {
			if routes[i].match.Matches(r) {
				return routes[i].service
			}
		}
	}
	return nil
}
