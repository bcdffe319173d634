package warmup_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/warmup"
)

// sharing is a drawn set of hosts that share the turns of one cold server.
type sharing struct {
	limit warmup.Limit
	names []string
	// gone are names that some hosts remember.
	gone     []string
	sets     []*warmup.HostSet
	servers  []*warmup.Server
	now      time.Duration
	warmAt   time.Duration
	arrivals []time.Duration
}

func drawSharing(t *rapid.T) *sharing {
	s := &sharing{
		limit: warmup.Limit{
			Rate:    rapid.IntRange(200, 200_000).Draw(t, "rate"),
			Percent: rapid.IntRange(100, 300).Draw(t, "percent"),
			Slack:   rapid.IntRange(2, 20).Draw(t, "slack"),
		},
		now: time.Hour,
	}
	s.warmAt = s.now + time.Duration(rapid.IntRange(100, 5000).Draw(t, "warm up ms"))*time.Millisecond
	for i := range rapid.IntRange(1, 80).Draw(t, "hosts") {
		s.names = append(s.names, fmt.Sprintf("entry-%02d", i))
	}
	for i := range 5 {
		s.gone = append(s.gone, fmt.Sprintf("gone-%d", i))
	}
	s.sets = make([]*warmup.HostSet, len(s.names))
	s.servers = make([]*warmup.Server, len(s.names))
	for i := range s.names {
		s.start(t, i)
		s.sets[i].Activate(0)
	}
	return s
}

// start gives a host the state of a new process that knows all hosts and remembers
// some that are gone.
func (s *sharing) start(t *rapid.T, i int) {
	s.sets[i] = warmup.NewHostSet(s.names[i], "domain")
	for _, name := range s.names {
		s.sets[i].Add(s.now, name)
	}
	for _, name := range s.gone {
		if rapid.Bool().Draw(t, "remembers") {
			s.sets[i].Add(s.now, name)
		}
	}
	s.servers[i] = warmup.NewServer("server/1", []uint64{warmup.Domain("domain")})
}

// send lets a host send as many requests as its turns permit, up to a drawn number.
func (s *sharing) send(t *rapid.T, i int) {
	s.servers[i].Report(s.now, s.warmAt-s.now, true)
	for range rapid.IntRange(1, 20).Draw(t, "requests") {
		if !s.servers[i].Permits(s.now, time.Millisecond, s.limit, s.sets[i]) {
			return
		}
		s.servers[i].Take(s.now, s.limit, s.sets[i])
		s.arrivals = append(s.arrivals, s.now)
	}
}

// Guards against turns that two hosts use, or that a host uses twice, before and after
// a restart: then a server gets more than its rate, whatever the tolerance.
var _ = Describe("hosts that know each other", func() {
	It("send a cold server no more than its rate and the turns that are still valid", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := drawSharing(t)
			for s.now < s.warmAt {
				i := rapid.IntRange(0, len(s.names)-1).Draw(t, "host")
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					s.start(t, i)
					s.sets[i].Activate(s.now)
				}
				s.send(t, i)
				s.now += time.Duration(rapid.IntRange(0, 50).Draw(t, "pause ms")) * time.Millisecond
			}
			slices.Sort(s.arrivals)
			perSecond := max(s.limit.Rate+2000, s.bound()/2, s.limit.Rate+(s.bound()-s.limit.Rate)/4)
			Expect(mostInSecond(s.arrivals) * 1000).To(BeNumerically("<=", perSecond))
			Expect(perSecond).To(BeNumerically("<=", s.bound()))
			// Over the whole warm-up, each turn is used at most once.
			turns := (s.warmAt-time.Hour).Seconds()*float64(s.limit.Rate)/1000 + 1
			Expect(float64(len(s.arrivals))).To(BeNumerically("<=", turns))
		})
	})
})

func (s *sharing) bound() int { return s.limit.Rate*s.limit.Percent/100 + s.limit.Slack*1000 }
