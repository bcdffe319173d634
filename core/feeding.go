package core

import "time"

// A store may turn away the host that reads it for others. One of those that it
// serves then reads for that host, which asks in turn.

const (
	// A host that knows more is asked in turn when its news are younger by
	// askBackGain, and goes on reading for feedTime.
	askBackGain = 300 * time.Millisecond
	feedTime    = 2 * time.Second
)

// feeds reports whether this host reads the store for its reader.
func (s *State) feeds() bool { return s.now.Before(s.registry.news.feedsUntil) }

// noteFeeding notes that the reader of this host asks it for news. The reader
// is looked for only if the asker can be it: every host asks often.
func (s *State) noteFeeding(ask *NewsAsk) {
	self := s.selfNeighbour()
	if ask.NamesOnly || !ranksBefore(&ask.From, &self) {
		return
	}
	if reader := s.reader(); reader != nil && reader.Host == ask.From.Host {
		s.registry.news.feedsUntil = s.now.Add(feedTime)
	}
}

// tellReader lets the host that this one asks know that the store has answered
// here, so that it asks in turn if it cannot read for itself. A host that keeps
// servers whose entries may have lapsed does not know yet what it would tell.
func (s *State) tellReader() {
	reader := s.reader()
	if reader == nil || len(s.registry.lapsing) > 0 {
		return
	}
	ask := s.newsAsk(0)
	ask.NamesOnly = true
	s.out.add(AskNews{Address: reader.Address, Ask: ask, Aside: true})
}

// askBack asks a host that knows more than this one, whose own news are old.
func (s *State) askBack(ask *NewsAsk) {
	n := &s.registry.news
	known := s.registry.revision
	younger := ask.After > 0 && ask.After == known && ask.Age < newsOld && ask.Age+askBackGain < s.newsAge()
	needed := n.fed || s.newsAge() >= newsOld
	if !needed || n.askedBack != "" || ask.From.Address == "" || ask.After <= known && !younger {
		return
	}
	n.fed = true
	n.askedBack = ask.From.Address
	s.out.add(AskNews{Address: n.askedBack, Ask: s.newsAsk(0), Aside: true})
}

// askAnyone asks a random entry host when neither the store nor the reader has
// told anything lately: all of a failure domain may be turned away.
func (s *State) askAnyone() {
	n := &s.registry.news
	if s.newsAge() < newsLimit {
		return
	}
	var known []*neighbour
	for _, name := range sortedKeys(n.neighbours) {
		if other := n.neighbours[name]; other.Address != n.polled && !s.now.Before(other.downUntil) {
			known = append(known, other)
		}
	}
	if len(known) > 0 {
		n.fed = true
		s.out.add(AskNews{Address: known[s.random.intN(len(known))].Address, Ask: s.newsAsk(0), Aside: true})
	}
}
