package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize exceeds the connections that a host with hostDescriptors admits.
	crowdSize       = 80
	hostDescriptors = 300
	crowdPause      = 700 * time.Millisecond
	crowdTime       = 500 * time.Millisecond
)

// crowdBytes are what members of a crowd send again and again: nothing, a field without
// end, empty lines without end, a body without end, and requests whose answers they do
// not read.
var crowdBytes = []struct{ first, repeated string }{
	{},
	{"GET /x/a HTTP/1.1\r\nHost: a.example\r\nX-Long: ", strings.Repeat("a", 4096)},
	{"", strings.Repeat("\r\n", 2048)},
	{"POST /x/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
	{"", strings.Repeat("GET /none/ HTTP/1.1\r\nHost: a.example\r\n\r\n", 20)},
}

// startCrowds plays crowds of callers out of control against one host after the other,
// until the returned function is called. It has random numbers of its own, so that the
// faults of a seed stay the same.
func (e *environment) startCrowds(seed uint64) (stop func()) {
	random := rand.New(rand.NewPCG(seed, 2))
	done := make(chan struct{})
	var playing sync.WaitGroup
	playing.Go(func() {
		for {
			e.playCrowd(e.hosts[random.IntN(len(e.hosts))], random.IntN(len(crowdBytes)))
			select {
			case <-done:
				return
			case <-time.After(crowdPause):
			}
		}
	})
	return func() {
		close(done)
		playing.Wait()
	}
}

func (e *environment) playCrowd(h *host, kind int) {
	var members sync.WaitGroup
	for range crowdSize {
		members.Go(func() {
			c, err := net.DialTimeout("tcp", h.address, crowdTime)
			if err != nil {
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(crowdTime))
			_, err = io.WriteString(c, crowdBytes[kind].first)
			for err == nil && crowdBytes[kind].repeated != "" {
				_, err = io.WriteString(c, crowdBytes[kind].repeated)
			}
			if err == nil {
				io.Copy(io.Discard, c)
			}
		})
	}
	members.Wait()
}
