package config

import "wisteriapond/label"

// Explanation lists the upstreams that may serve a request, and the reasons
// that exclude the others.
type Explanation struct {
	// Generation is the generation of the active configuration, 0 if there is
	// none.
	Generation uint64
	// Service is the service that the request belongs to, empty if no service
	// matches.
	Service    string
	Labels     label.Set
	Idempotent bool
	Long       bool
	Upstreams  []ExplainedUpstream
}

// ExplainedUpstream is an upstream with the reason that excludes it, if any.
type ExplainedUpstream struct {
	Name          string
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

// Explain returns how the table routes a request by service matches and
// selectors.
func (t *Table) Explain(r *Request) Explanation {
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
	}
	for _, u := range service.Upstreams {
		eligible, selector, term := service.Eligible(labels, u)
		explanation.Upstreams = append(explanation.Upstreams, ExplainedUpstream{
			Name:          u.Name,
			Host:          u.Host,
			Region:        u.Region,
			FailureDomain: u.FailureDomain,
			Labels:        u.LabelSet,
			Eligible:      eligible,
			Selector:      selector,
			Term:          term,
		})
	}
	return explanation
}
