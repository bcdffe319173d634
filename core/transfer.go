package core

import (
	"slices"

	"wisteriapond/outcome"
	"wisteriapond/pick"
)

const percent = 100

// transferShare is the rate in bytes per second at which this host may move
// long answers over one link between regions; 0 means no limit. The share
// does not depend on what other hosts do, so that hosts which do not hear of
// each other never exceed the sum.
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

// firstRate is the rate of a request that is about to start. The transfers
// that are under way make room when its answer turns out to be long.
func (s *State) initialRate(u *upstream) int64 {
	if u.locality != pick.OtherRegion {
		return 0
	}
	return s.ratePerTransfer(len(s.transfers[u.config.Region]) + 1)
}

func (s *State) ratePerTransfer(n int) int64 {
	share := s.transferRateLimit()
	if share == 0 {
		return 0
	}
	return max(1, share/int64(n))
}

// beginTransfer counts a long answer from another region.
func (s *State) startTransfer(r *request) {
	if r.upstream.locality != pick.OtherRegion {
		return
	}
	r.transferFrom = r.upstream.config.Region
	s.transfers[r.transferFrom] = append(s.transfers[r.transferFrom], r)
	s.updateTransferRates(r.transferFrom)
}

func (s *State) endTransfer(r *request) {
	if r.transferFrom == "" {
		return
	}
	rest := slices.DeleteFunc(s.transfers[r.transferFrom], func(other *request) bool { return other == r })
	s.transfers[r.transferFrom] = rest
	s.updateTransferRates(r.transferFrom)
	r.transferFrom = ""
}

// shareLink gives every long answer from a region the same part of the share.
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

// shareLinks applies a change of the configured rates.
func (s *State) updateAllTransferRates() {
	for _, region := range sortedKeys(s.transfers) {
		s.updateTransferRates(region)
	}
}

// countCrossing counts the bodies that crossed regions.
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
