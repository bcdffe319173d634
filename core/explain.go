package core

import "wisteriapond/config"

// ExplainRequested requests an explanation of how a request would be routed. The
// request is not sent.
type ExplainRequested struct {
	ID      uint64
	Request config.Request
}

// ReportExplanation responds to an ExplainRequested event.
type ReportExplanation struct {
	ID          uint64
	Explanation config.Explanation
}

func (ExplainRequested) event()   {}
func (ReportExplanation) effect() {}

// States that exclude an upstream whatever the selectors allow: its host is leaving
// or in an emptied failure domain and gets no new work, the upstream is ejected and
// gets trial requests only, or it is cold and this host may send it none at the moment.
const (
	stateLeaving = "leaving"
	stateEjected = "ejected"
	stateEmptied = "failure domain emptied"
	stateCold    = "cold"
)

func (s *State) explain(e ExplainRequested) {
	report := ReportExplanation{ID: e.ID}
	if s.table != nil {
		report.Explanation = s.table.Explain(&e.Request)
	}
	for i := range report.Explanation.Upstreams {
		u := &report.Explanation.Upstreams[i]
		if u.State == "" {
			u.State = s.excludedState(s.services[u.Service], u)
		}
		u.Eligible = u.Eligible && u.State == ""
	}
	s.out.add(report)
}

// excludedState returns the state that excludes an upstream, or "" if there is
// none.
func (s *State) excludedState(svc *service, u *config.ExplainedUpstream) string {
	if s.leaving(u.Host) {
		return stateLeaving
	}
	if s.domainEmptied(u.FailureDomain) {
		return stateEmptied
	}
	if svc == nil {
		return ""
	}
	for _, state := range svc.upstreams {
		if state.config.Name != u.Name {
			continue
		}
		switch {
		case state.health.Ejected():
			return stateEjected
		case s.coldFor(state) > 0 && s.coldWait(state) > 0:
			return stateCold
		}
	}
	return ""
}
