package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriapond/config"
	"wisteriapond/outcome"
)

// waitingProblem describes how the groups with waiting requests differ from the waiting
// requests, "" if they do not. A request whose group is not listed is never started.
func (s *State) waitingProblem() string {
	for id, r := range s.requests {
		if r.queueItem.Queued() && !slices.Contains(r.service.waitingGroups, r.group) {
			return fmt.Sprintf("request %d waits, and its group is not listed", id)
		}
	}
	for name, svc := range s.services {
		waiting := 0
		for i, g := range svc.waitingGroups {
			if g.waiting.Len() == 0 {
				return fmt.Sprintf("a group of %s is listed without a request", name)
			}
			if slices.Contains(svc.waitingGroups[:i], g) {
				return fmt.Sprintf("a group of %s is listed twice", name)
			}
			waiting += g.waiting.Len()
		}
		if waiting != svc.waiting {
			return fmt.Sprintf("%d requests of %s wait in the listed groups, want %d", waiting, name, svc.waiting)
		}
	}
	return ""
}

var _ = ginkgo.Describe("a waiting request", func() {
	// Guards against a retry that is skipped since the free upstream was tried, is
	// forgotten when the last request behind it starts, and waits until its deadline.
	ginkgo.It("is started although the last request behind it was started first", func() {
		r := newTestReducer(noChange)
		first, second := firstEffect[StartAttempt](r.get()), firstEffect[StartAttempt](r.get())
		Expect(firstEffect[StartAttempt](r.get())).To(BeZero())
		third := firstEffect[StartAttempt](r.finishAttempt(first, shed))
		Expect(third.Attempt.Request).To(Equal(RequestID(3)))
		Expect(third.Upstream).To(Equal(first.Upstream))
		for range 5 {
			Expect(count[StartAttempt](r.advance(10 * time.Millisecond))).To(BeZero())
		}
		Expect(firstEffect[StartAttempt](r.get())).To(BeZero())
		fourth := firstEffect[StartAttempt](r.finishAttempt(third, success))
		Expect(fourth.Attempt.Request).To(Equal(RequestID(4)))
		Expect(r.state.waitingProblem()).To(BeEmpty())
		retry := firstEffect[StartAttempt](r.finishAttempt(second, success))
		Expect(retry.Attempt.Request).To(Equal(RequestID(1)))
		Expect(retry.Upstream).To(Equal(second.Upstream))
	})

	// Guards against any order of events after which a request waits in a group that is
	// not listed.
	ginkgo.It("is in a listed group after any event", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			r := newTestReducer(func(s *config.Service) {
				s.Queue = 16
				withUpstreams("a", "b", "c")(s)
			})
			var running []StartAttempt
			record := func(effects []Effect) {
				for _, effect := range effects {
					if start, ok := effect.(StartAttempt); ok {
						running = append(running, start)
					}
				}
				if problem := r.state.waitingProblem(); problem != "" {
					t.Fatal(problem)
				}
			}
			for range rapid.IntRange(1, 80).Draw(t, "events") {
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
				switch rapid.SampledFrom([]string{"get", "get", "long", "post", "finish", "finish", "finish", "tick", "gone"}).Draw(t, "event") {
				case "get":
					record(r.get())
				case "long":
					record(r.send("GET", "long", func(*RequestArrived) {}))
				case "post":
					record(r.post())
				case "tick":
					record(r.step(Tick{}))
				case "gone":
					if r.lastID > 0 {
						record(r.step(CallerGone{ID: RequestID(rapid.IntRange(1, int(r.lastID)).Draw(t, "request"))}))
					}
				case "finish":
					if len(running) == 0 {
						continue
					}
					i := rapid.IntRange(0, len(running)-1).Draw(t, "attempt")
					attempt := running[i]
					running = slices.Delete(running, i, i+1)
					facts := rapid.SampledFrom([]outcome.Facts{success, shed, shed, dialFailure, reset}).Draw(t, "outcome")
					record(r.finishAttempt(attempt, facts))
				}
			}
		})
	})
})
