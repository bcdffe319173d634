// Command driver plays case 3: an entry host is stopped and started while an
// upstream leaves. After its start, a stale listing of the store arrives later than
// the newer state that another entry host gave it.
package main

import (
	"time"

	"wisteriapond/review/kit"
)

const (
	// storeAnswer is an answer of 4 ms and a round trip of 24 ms to another region.
	storeAnswer = 28 * time.Millisecond
	// staleBy is how old a stale read is: "may be seconds old".
	staleBy = 2 * time.Second
)

func main() {
	c := kit.RestartWhileLeaving{
		Domains:       []kit.Domain{{Name: "mtl-a", Region: "mtl"}, {Name: "qc-a", Region: "qc"}, {Name: "qc-b", Region: "qc"}},
		Zones:         []string{"qc-a", "qc-a", "qc-b"},
		Restarted:     1,
		UpstreamZones: []string{"qc-a", "qc-b"},
		PrepareStore: func(s *kit.Store) {
			s.Answer, s.StaleBy = storeAnswer, []time.Duration{staleBy}
		},
	}
	kit.Main(c.Run)
}
