package relay

import (
	"reflect"
	"testing"
	"time"

	"wisteriapond/config"
	"wisteriapond/core"
)

// fuzzedHost returns the reducer of a host that reads a store and knows one server.
func fuzzedHost() *core.State {
	s := core.New()
	var out core.Effects
	s.Step(0, core.Start{Host: "entry-1", Region: "mtl", FailureDomain: "mtl-a", Seed: 1, Registry: &core.RegistrySettings{Address: "entry-1:1", RetrySlack: 10}}, &out)
	server := core.Server{ID: "a", Service: "s", Address: "10.0.0.1:80", FailureDomain: "mtl-a", Slots: 2}
	s.Step(1, core.StoreListed{Call: 1, Revision: 1, Servers: []core.ServerChange{{ID: "a", Server: &server}}, Routing: &config.Routing{
		Version: 1, Services: []config.RoutedService{{Name: "s"}},
		Routes: []config.Route{{Name: "r", Host: "h", PathPrefix: "/", MaxAttempts: 2, Targets: []config.Target{{Service: "s", Weight: 1}}}},
	}}, &out)
	return s
}

// useAfter sends a request to a reducer and lets time pass.
func useAfter(s *core.State) {
	var out core.Effects
	s.Step(core.Instant(time.Second), core.RequestArrived{ID: 1, Request: config.Request{Method: "GET", Host: "h", Path: "/x"}}, &out)
	for i := range 30 {
		s.Step(core.Instant(time.Second).Add(time.Duration(i)*100*time.Millisecond), core.Tick{}, &out)
	}
}

// Guards against a poll of another entry host that ends the process.
func FuzzPoll(f *testing.F) {
	raw, err := pollCodec.Encode(reflect.ValueOf(core.NewsAsk{From: core.Neighbour{Host: "e", Address: "e:1"}, After: 1, Wait: time.Second, Leaving: []string{"a/0"}, Hosts: 1 << 62}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var poll core.NewsAsk
		if pollCodec.Decode(raw, reflect.ValueOf(&poll).Elem()) != nil {
			return
		}
		s := fuzzedHost()
		var out core.Effects
		s.Step(2, core.NewsAsked{ID: 1, Ask: poll}, &out)
		useAfter(s)
	})
}

// Guards against a response of another entry host that ends the process: an earlier
// version passes on entries of the store without a check.
func FuzzPollResponse(f *testing.F) {
	for _, slots := range []int{1, 1 << 62, -1} {
		server := core.Server{ID: "a", Service: "s", Slots: slots, ColdFor: -1 << 63}
		raw, err := responseCodec.Encode(reflect.ValueOf(core.NewsAnswer{Known: true, Revision: 9, Whole: true, Servers: []core.ServerChange{{ID: "a", Server: &server}}, Age: -1 << 62, Hosts: -5}))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var response core.NewsAnswer
		if responseCodec.Decode(raw, reflect.ValueOf(&response).Elem()) != nil {
			return
		}
		s := fuzzedHost()
		var out core.Effects
		s.Step(2, core.NewsAnswered{Address: "e:1", Aside: true, Answer: response}, &out)
		useAfter(s)
	})
}
