package config

import "wisteriapond/label"

// Explanation says where a request may go and why not elsewhere.
type Explanation struct {
	// Generation is that of the configuration in force, 0 when there is none.
	Generation uint64
	// Service is empty when no service claims the request.
	Service    string
	Labels     label.Set
	Idempotent bool
	Long       bool
	Upstreams  []ExplainedUpstream
}

// ExplainedUpstream is an upstream with the reason that excludes it.
type ExplainedUpstream struct {
	Name          string
	Host          string
	Region        string
	FailureDomain string
	Labels        label.Set
	Eligible      bool
	// Selector and Term are the host selector that excludes the upstream and
	// its failing term; empty when the selectors allow it.
	Selector string
	Term     string
	// State is a reason outside the selectors, such as "leaving"; empty for
	// none.
	State string
}

// Explain tells how the table routes a request.
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
