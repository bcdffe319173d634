package core

import "wisteriapond/config"

// ExplainRequested asks where a request would go. Nothing is sent.
type ExplainRequested struct {
	ID      uint64
	Request config.Request
}

// ReportExplanation answers an ExplainRequested event.
type ReportExplanation struct {
	ID          uint64
	Explanation config.Explanation
}

func (ExplainRequested) event()   {}
func (ReportExplanation) effect() {}

// stateLeaving excludes an upstream whose host gets no new work.
const stateLeaving = "leaving"

func (s *State) explain(e ExplainRequested) {
	report := ReportExplanation{ID: e.ID}
	if s.table != nil {
		report.Explanation = s.table.Explain(&e.Request)
	}
	for i := range report.Explanation.Upstreams {
		u := &report.Explanation.Upstreams[i]
		if s.leaving(u.Host) {
			u.Eligible = false
			u.State = stateLeaving
		}
	}
	s.out.add(report)
}
