package runtime

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wisteriapond/config"
	"wisteriapond/core"
	"wisteriapond/outcome"
)

type discardEffects struct{}

func (discardEffects) Handle(core.Effect) {}

// configuration returns the events that configure one service with enough slots
// for every request.
func configuration() []core.Event {
	hash := config.Hash(strings.Repeat("a", 64))
	s := &config.Service{
		Name: "s", Match: []config.Match{{PathPrefix: "/"}}, Timeout: time.Minute, Queue: 1024,
		Probe: config.Probe{Path: "/", Timeout: time.Second, AnswerLimit: 1024},
	}
	for i := range 14 {
		name := fmt.Sprintf("b%d", i)
		s.Upstreams = append(s.Upstreams, config.Upstream{
			Name: name, Host: name, Address: name + ":80", Region: "mtl", FailureDomain: "mtl-a", Slots: 1000, Connections: 1000,
		})
	}
	return []core.Event{
		core.Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a"},
		core.ManifestRead{
			Version:  config.Version{Generation: 1, Hash: hash},
			Manifest: &config.Manifest{Generation: 1, EntryHosts: 1, Links: config.Links{LongPercent: 50}, Services: []config.ServiceRef{{Name: "s", Hash: hash}}},
		},
		core.PartRead{Hash: hash, Service: s},
	}
}

var (
	arrival  = core.RequestArrived{Request: config.Request{Method: "GET", Host: "h", Path: "/a"}, BodyKept: true}
	response = outcome.Facts{Wrote: true, Status: 200, Load: -1, Bytes: 100}
)

func readyLoops(b *testing.B, count int) []*Loop {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	loops := make([]*Loop, count)
	for i := range loops {
		l := NewLoop(discardEffects{})
		for _, event := range configuration() {
			l.Send(event)
		}
		go l.Run(ctx)
		for !l.Ready() {
			time.Sleep(time.Millisecond)
		}
		loops[i] = l
	}
	return loops
}

// runRequest runs one request through a loop, without a backend server.
func runRequest(b *testing.B, l *Loop) {
	ticket := l.Submit(arrival)
	if ticket == nil {
		b.Error("the request was rejected because the mailbox is full or closed")
		return
	}
	start, ok := (<-ticket.Commands).(core.StartAttempt)
	if !ok {
		b.Error("the first command is not StartAttempt")
		return
	}
	l.Send(core.AttemptFinished{Attempt: start.Attempt, Facts: response})
	if _, ok := (<-ticket.Commands).(core.PassAnswer); !ok {
		b.Error("the second command is not PassAnswer")
	}
}

// BenchmarkHandover measures the cost of one request between its traffic
// goroutine and the control goroutine. For comparison it measures the reducer
// alone, and several loops that each run a reducer for a part of the requests.
func BenchmarkHandover(b *testing.B) {
	b.Run("reducer", func(b *testing.B) {
		state := core.New()
		var effects core.Effects
		for _, event := range configuration() {
			state.Step(1, event, &effects)
		}
		b.ReportAllocs()
		for i := range b.N {
			effects.Reset()
			request := arrival
			request.ID = core.RequestID(i + 1)
			state.Step(2, request, &effects)
			state.Step(2, core.AttemptFinished{Attempt: core.AttemptID{Request: request.ID, Number: 1}, Facts: response}, &effects)
		}
	})
	for _, callers := range []int{1, 8, 128} {
		for _, loops := range []int{1, 2, 4} {
			b.Run(fmt.Sprintf("callers=%d/loops=%d", callers, loops), func(b *testing.B) {
				benchmarkLoops(b, callers, readyLoops(b, loops))
			})
		}
	}
}

func benchmarkLoops(b *testing.B, callers int, loops []*Loop) {
	b.ReportAllocs()
	b.ResetTimer()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	done := make(chan struct{}, callers)
	for i := range callers {
		go func() {
			for remaining.Add(-1) >= 0 {
				runRequest(b, loops[i%len(loops)])
			}
			done <- struct{}{}
		}()
	}
	for range callers {
		<-done
	}
}
