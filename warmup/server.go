package warmup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLeft bounds the warm-up time that a server may report.
	maxLeft = time.Hour
	// clockTolerance is the difference up to which two reports of a server are taken
	// to describe the same warm-up. Reports are under way for up to 12 ms, and a
	// busy host reads them later.
	clockTolerance = 100 * time.Millisecond
	// maxExamined bounds the turns that are examined at once, so that a high rate
	// costs no more time. Turns beyond it are lost.
	maxExamined = 256
)

// Server is what this host knows of the warm-up of one backend server.
type Server struct {
	key     uint64
	domains []uint64
	// answeredAt is the instant of the last report of the server itself, if
	// answered is set.
	answered   bool
	answeredAt time.Duration
	// end is the end of the warm-up that the server reported, if cold is set. Turn n
	// begins n intervals earlier.
	cold bool
	end  time.Duration
	// registeredEnd is the end of the warm-up by the server's registration, which
	// may be out of date by seconds.
	registeredEnd time.Duration
	// since is the instant from which turns of this warm-up are used. examined is
	// the last turn that was examined; turns are numbered downwards.
	since    time.Duration
	examined int64
	// held are the turns of this host that have begun and are unused.
	held []int64
	// nextAt is the beginning of the next turn of this host, as of the given
	// version of the hosts; 0 if it is not known.
	nextAt       time.Duration
	hostsVersion int
}

// Domain returns the hash of a failure domain for NewServer.
func Domain(name string) uint64 { return xxhash.Sum64String(name) }

// NewServer returns the state of an instance of a backend server. Hosts of the given
// failure domains share its turns.
func NewServer(instance string, domains []uint64) *Server {
	return &Server{key: xxhash.Sum64String(instance), domains: domains}
}

// SetDomains replaces the failure domains whose hosts share the turns.
func (s *Server) SetDomains(domains []uint64) {
	s.domains = domains
	s.nextAt = 0
}

// Registered applies the remaining warm-up time of the server's registration. Until
// the server itself reports, nothing is sent to it.
func (s *Server) Registered(now, left time.Duration) {
	if left > 0 {
		s.registeredEnd = now + min(left, maxLeft)
		s.answered = false
	}
}

// Report applies a report of the server itself. stated is false if it says nothing
// of a warm-up; the registration holds then.
func (s *Server) Report(now, left time.Duration, stated bool) {
	s.answered, s.answeredAt = true, now
	if !stated {
		if s.cold && now >= s.end {
			s.forget()
		}
		return
	}
	s.registeredEnd = 0
	if left <= 0 {
		s.forget()
		return
	}
	end := now + min(left, maxLeft)
	if s.cold && (end-s.end).Abs() <= clockTolerance {
		// Of two reports, the one that was under way for the shorter time is right.
		// A turn is used once, whenever it begins.
		if end < s.end {
			s.end, s.nextAt = end, 0
		}
		return
	}
	s.forget()
	s.cold, s.end, s.since = true, end, now
	s.examined = -1
}

// forget ends a warm-up and drops its turns.
func (s *Server) forget() {
	s.cold = false
	s.held = s.held[:0]
	s.nextAt = 0
}

// Cold reports whether the server is cold by all that is known.
func (s *Server) Cold(now time.Duration) bool { return s.Left(now) > 0 }

// Reported reports whether the server has reported the warm-up that it is in.
func (s *Server) Reported(now time.Duration) bool { return s.cold && now < s.end }

// Left returns the remaining warm-up time by all that is known.
func (s *Server) Left(now time.Duration) time.Duration {
	end := s.registeredEnd
	if s.cold {
		end = max(end, s.end)
	}
	return max(0, end-now)
}

// Permits reports whether a request may be sent to the server now: it reported at
// most reportAge ago, and it is warm or a turn of this host is open.
func (s *Server) Permits(now, reportAge time.Duration, limit Limit, hosts *HostSet) bool {
	if !s.answered || now-s.answeredAt > reportAge {
		return false
	}
	return s.MayAsk(now, limit, hosts)
}

// MayAsk reports whether a report of the server could permit a request. Servers for
// which this host has no turn are not asked, so that a cold server isn't asked by
// all hosts.
func (s *Server) MayAsk(now time.Duration, limit Limit, hosts *HostSet) bool {
	switch {
	case s.cold && now < s.end:
		s.advance(now, limit, hosts)
		return len(s.held) > 0
	case now < s.registeredEnd:
		return !s.answered && hosts.shares(s.domains)
	}
	return true
}

// Take uses the earliest open turn for a request that is sent now, if the server is
// cold.
func (s *Server) Take(now time.Duration, limit Limit, hosts *HostSet) {
	if !s.cold || now >= s.end {
		return
	}
	s.advance(now, limit, hosts)
	if len(s.held) > 0 {
		s.held = append(s.held[:0], s.held[1:]...)
	}
}

// Wait returns the time until this host may send a request to the server: until its
// next turn, or the end of the warm-up.
func (s *Server) Wait(now time.Duration, limit Limit, hosts *HostSet) time.Duration {
	if s.MayAsk(now, limit, hosts) {
		return 0
	}
	if !s.cold || now >= s.end {
		return s.Left(now)
	}
	if s.nextAt <= now || s.hostsVersion != hosts.version {
		s.nextAt, s.hostsVersion = s.nextTurn(now, limit, hosts), hosts.version
	}
	return s.nextAt - now
}

// advance adds the turns of this host that have begun, and drops those that are no
// longer valid.
func (s *Server) advance(now time.Duration, limit Limit, hosts *HostSet) {
	interval, validity := limit.interval(), limit.validity()
	current := int64((s.end - now + interval - 1) / interval)
	oldest := min(int64((s.end-now+validity)/interval), current+maxExamined)
	last := oldest
	if s.examined >= 0 {
		last = min(last, s.examined-1)
	}
	since := max(s.since, hosts.since)
	for turn := last; turn >= current; turn-- {
		if s.end-time.Duration(turn)*interval >= since && hosts.owns(s.key, turn, s.domains) {
			s.held = append(s.held, turn)
		}
	}
	if s.examined < 0 || current < s.examined {
		s.examined = current
	}
	for len(s.held) > 0 && s.held[0] > oldest {
		s.held = append(s.held[:0], s.held[1:]...)
	}
}

// nextTurn returns the beginning of the next turn of this host, or the end of the
// warm-up or of the turns that are examined.
func (s *Server) nextTurn(now time.Duration, limit Limit, hosts *HostSet) time.Duration {
	interval := limit.interval()
	turn := int64((s.end - now - 1) / interval)
	for range maxExamined {
		if turn < 1 {
			return s.end
		}
		if hosts.owns(s.key, turn, s.domains) {
			break
		}
		turn--
	}
	return s.end - time.Duration(turn)*interval
}
