package core

import (
	"time"

	"wisteriapond/budget"
)

// Entry hosts count each other along their polls: each host reports to the host
// that it polls for how many hosts it speaks, and learns from the response how many
// there are in total. Limits of the whole fleet are divided by that number.

const (
	// assumedFleet is the number of hosts assumed before this host has had time to
	// learn the number. Too large a number costs a few retries after a start, too
	// small a one lets a fleet exceed its limit.
	assumedFleet = 500
	// fleetLearnTime is the time after the start in which the number is assumed. A
	// few polls pass in each layer of hosts within it.
	fleetLearnTime = 6 * time.Second
	// fleetMemory is the time for which the largest known number is kept. Hosts on
	// the other side of a partition go on using their shares.
	fleetMemory = 10 * time.Minute
	// clientExpiry is the time after its last poll for which a host is counted as a
	// client of this one.
	clientExpiry = 10 * time.Second
	// slackPercent is the share of the retries beyond the requests' share, in
	// percent, that is divided among the hosts. The rest is for hosts that restart
	// with a new budget.
	slackPercent = 80
	permille     = 1000
)

// fleetSize is the number of entry hosts that this host has reason to count.
type fleetSize struct {
	startedAt Instant
	largest   int
	largestAt Instant
}

// subtreeSize returns the number of hosts for which this host speaks: itself and
// those that poll it.
func (s *State) subtreeSize() int {
	size := 1
	for _, n := range s.registry.propagation.neighbours {
		if n.polledAt > 0 && s.now.Sub(n.polledAt) < clientExpiry {
			size += max(1, n.subtree)
		}
	}
	return size
}

// recordClient records a poll of a host that regularly polls this one.
func (s *State) recordClient(poll *NewsAsk) {
	known := s.registry.propagation.neighbours[poll.From.Host]
	if poll.NamesOnly || poll.Wait <= 0 || known == nil {
		return
	}
	known.polledAt = s.now
	known.subtree = min(max(1, poll.Hosts), maxNeighbours)
	s.recordFleet(s.subtreeSize())
}

// recordFleet records a number of hosts. A smaller number replaces a larger one
// only after fleetMemory.
func (s *State) recordFleet(hosts int) {
	f := &s.registry.fleet
	if hosts >= f.largest || s.now.Sub(f.largestAt) >= fleetMemory {
		f.largest = hosts
		f.largestAt = s.now
	}
}

// countedHosts returns the number of hosts by which a limit of the whole fleet is
// divided.
func (s *State) countedHosts() int {
	f := &s.registry.fleet
	known := max(1, f.largest)
	if s.self.Registry.Address != "" && s.now.Sub(f.startedAt) < fleetLearnTime {
		return max(known, assumedFleet)
	}
	return known
}

// retryShare returns the share of this host in the retries of the fleet beyond the
// share of the requests, in units of the retry budget.
func (s *State) retryShare() int {
	return s.self.Registry.RetrySlack * budget.Token * slackPercent / percent / s.countedHosts()
}
