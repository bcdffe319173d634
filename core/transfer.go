package core

import (
	"slices"

	"wisteriapond/outcome"
	"wisteriapond/pick"
)

// percent is the divisor of values in percent.
const percent = 100

// transferRateLimit returns the rate in bytes per second at which this host may
// transfer long responses over one link between regions; 0 means no limit. It is
// a fixed share that does not depend on what other hosts transfer, so that hosts
// that are cut off from each other together never exceed the configured rate.
func (s *State) transferRateLimit() int64 {
	if s.table == nil {
		return 0
	}
	m := s.table.Manifest
	if m.Links.BytesPerSecond == 0 {
		return 0
	}
	return max(1, m.Links.BytesPerSecond/percent*int64(m.Links.LongPercent)/int64(max(1, m.EntryHosts)))
}

// initialRate returns the transfer rate of an attempt that is about to start, in
// bytes per second; 0 means no limit. The rates of the transfers in progress are
// lowered only if its response turns out to be long.
func (s *State) initialRate(u *upstream) int64 {
	if u.locality != pick.OtherRegion {
		return 0
	}
	return s.ratePerTransfer(len(s.transfers[u.config.Region]) + 1)
}

// ratePerTransfer returns the rate of each of n transfers that share a link, in
// bytes per second; 0 means no limit.
func (s *State) ratePerTransfer(n int) int64 {
	limit := s.transferRateLimit()
	if limit == 0 {
		return 0
	}
	return max(1, limit/int64(n))
}

// startTransfer adds a long response from another region to the transfers that
// share the link.
func (s *State) startTransfer(r *request) {
	if r.upstream.locality != pick.OtherRegion {
		return
	}
	r.transferFrom = r.upstream.config.Region
	s.transfers[r.transferFrom] = append(s.transfers[r.transferFrom], r)
	s.updateTransferRates(r.transferFrom)
}

// endTransfer removes a request from the transfers, if it is one, and divides the
// rate limit among the others.
func (s *State) endTransfer(r *request) {
	if r.transferFrom == "" {
		return
	}
	rest := slices.DeleteFunc(s.transfers[r.transferFrom], func(other *request) bool { return other == r })
	s.transfers[r.transferFrom] = rest
	s.updateTransferRates(r.transferFrom)
	r.transferFrom = ""
}

// updateTransferRates divides the rate limit equally among the long responses from
// a region.
func (s *State) updateTransferRates(region string) {
	transfers := s.transfers[region]
	if len(transfers) == 0 {
		return
	}
	rate := s.ratePerTransfer(len(transfers))
	for _, r := range transfers {
		if r.rate == rate {
			continue
		}
		r.rate = rate
		s.out.add(SetTransferRate{Attempt: r.attempt(), Rate: rate})
	}
}

// updateAllTransferRates applies a change of the configured rates.
func (s *State) updateAllTransferRates() {
	for _, region := range sortedKeys(s.transfers) {
		s.updateTransferRates(region)
	}
}

// countCrossRegionBytes counts the body bytes of an attempt that crossed regions.
func (s *State) countCrossRegionBytes(r *request, facts outcome.Facts) {
	u := r.upstream
	if u.receivedLabel == "" {
		return
	}
	if facts.Bytes > 0 {
		s.out.add(Count{Counter: CounterCrossRegionBytes, Label: u.receivedLabel, Add: facts.Bytes})
	}
	if facts.Wrote && r.bodyBytes > 0 {
		s.out.add(Count{Counter: CounterCrossRegionBytes, Label: u.sentLabel, Add: r.bodyBytes})
	}
}
