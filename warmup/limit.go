// Package warmup decides when this host may send a request to a backend server
// that is cold, so that all entry hosts together keep to the rate which such a
// server bears. Nobody hands out shares: the warm-up time that a server reports is
// a clock which all hosts can read, it is divided into turns, and each turn falls
// to one host by rendezvous hashing. Instants are durations on the caller's clock.
package warmup

import "time"

const (
	// unit is the unit of rates: thousandths of a request per second.
	unit    = 1000
	percent = 100
)

// Limit is what a cold server bears from all hosts together.
type Limit struct {
	// Rate is the number of requests per second, in thousandths.
	Rate int
	// In any second a server bears Percent of the rate and Slack requests more.
	Percent int
	Slack   int
}

// interval returns the length of a turn, in which the server bears one request.
func (l Limit) interval() time.Duration {
	return max(1, time.Second*unit/time.Duration(l.Rate))
}

// bound returns the number of requests that a server bears in any second, in
// thousandths.
func (l Limit) bound() int { return l.Rate*l.Percent/percent + l.Slack*unit }

// validity returns the time after its beginning for which a turn may be used. The
// longer it is, the fewer turns of hosts with little traffic are lost, and the more
// requests may arrive in one second. Half of the bound is used, so that both halves
// of a partitioned fleet together keep to it although each uses all turns. Where
// the tolerance is too small for that, a quarter of it is used.
func (l Limit) validity() time.Duration {
	perSecond := max(l.bound()/2, l.Rate+(l.bound()-l.Rate)/4)
	// In one second, the turns are used that begin in it or at most the validity
	// earlier, and one more for the fractions.
	extra := max(0, perSecond-l.Rate-unit)
	return max(l.interval(), time.Duration(extra)*time.Second/time.Duration(l.Rate))
}

// ReportAge returns the age up to which a server's report that it is warm permits a
// request: a server may turn cold without notice, and the requests that it can take
// until this is known must stay within the slack. On average they are a quarter of
// it, since they arrive at random. The age lies between least and most.
func (l Limit) ReportAge(slots int, serviceTime, least, most time.Duration) time.Duration {
	age := serviceTime * time.Duration(l.Slack) / time.Duration(4*max(1, slots))
	return min(max(age, least), most)
}
