package runtime

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
)

// effectRecorder records the effects that do not belong to a single request.
type effectRecorder struct {
	mu      sync.Mutex
	effects []core.Effect
}

func (r *effectRecorder) Handle(effect core.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effects = append(r.effects, effect)
}

// indexOf returns the position of the first effect that matches, or -1 if there
// is none.
func (r *effectRecorder) indexOf(matches func(core.Effect) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, effect := range r.effects {
		if matches(effect) {
			return i
		}
	}
	return -1
}

func run(l *Loop) (ended chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(ended).WithTimeout(waitTimeout).Should(BeClosed())
	})
	return ended, cancel
}

var _ = Describe("the loop", func() {
	// Guards against one event that ends the process and with it every request in
	// progress. A store event makes the reducer of a host without a store panic.
	It("goes on after a panic of the reducer", func() {
		r := &effectRecorder{}
		l := NewLoop(r)
		l.Send(core.Start{})
		run(l)
		waiting := l.Submit(core.RequestArrived{})
		Eventually(waiting.Commands).WithTimeout(waitTimeout).Should(Receive(BeAssignableToTypeOf(core.Refuse{})))
		l.Send(core.NewsAnswered{Answer: core.NewsAnswer{Neighbours: []core.Neighbour{{Host: "entry-2", Address: "entry-2:1"}}}})
		isPanic := func(effect core.Effect) bool {
			entry, ok := effect.(core.Log)
			return ok && entry.Level == core.LogError && entry.Fields[0].Value == "core.NewsAnswered"
		}
		Eventually(func() int { return r.indexOf(isPanic) }).WithTimeout(waitTimeout).Should(BeNumerically(">=", 0))
		after := l.Submit(core.RequestArrived{})
		Eventually(after.Commands).WithTimeout(waitTimeout).Should(Receive(BeAssignableToTypeOf(core.Refuse{})))
	})

	// Guards against events that the reducer handles before it has noticed how
	// much time has passed since the previous one. A Tick that is due has to come
	// first.
	It("applies a due tick before the next event", func() {
		r := &effectRecorder{}
		l := NewLoop(r)
		l.Send(core.Start{})
		l.Send(core.StopRequested{})
		l.Send(core.StatusRequested{ID: 1})
		run(l)
		Eventually(l.Done()).WithTimeout(waitTimeout).Should(BeClosed())
		isStop := func(e core.Effect) bool { _, ok := e.(core.StopAccepting); return ok }
		isStatus := func(e core.Effect) bool { _, ok := e.(core.ReportStatus); return ok }
		Eventually(func() int { return r.indexOf(isStatus) }).WithTimeout(waitTimeout).Should(BeNumerically(">", 0))
		Expect(r.indexOf(isStop)).To(BeNumerically("<", r.indexOf(isStatus)))
	})

	// Guards against traffic goroutines that block forever because the loop ends
	// before their requests.
	It("releases every ticket when it ends", func() {
		l := NewLoop(&effectRecorder{})
		waiting := l.Submit(core.RequestArrived{})
		l.tickets[7] = newTicket(7)
		running := l.tickets[7]
		attempt := &fakeAttempt{}
		running.Attach(1, attempt)
		ended, stop := run(l)
		stop()
		Eventually(ended).WithTimeout(waitTimeout).Should(BeClosed())
		Eventually(running.Commands).WithTimeout(waitTimeout).Should(BeClosed())
		Expect(attempt.canceled).To(Equal(1))
		// Either the queued request was rejected, or its channel is closed.
		_, open := <-waiting.Commands
		if open {
			Expect(waiting.Commands).NotTo(Receive())
		}
		Expect(l.Submit(core.RequestArrived{})).To(BeNil())
		l.Send(core.Tick{})
		Expect(l.OpenRequests()).To(BeZero())
	})

	// Guards against events that are dropped because they are queued as the process
	// exits: a response that is ready would be lost, and an arrival not be refused.
	It("applies the events that are queued when the reducer has emitted Exit", func() {
		l := NewLoop(&effectRecorder{})
		l.Send(core.Start{})
		l.execute(core.Exit{})
		queued := l.Submit(core.RequestArrived{})
		l.shutdown()
		Expect(queued.Commands).To(Receive(BeAssignableToTypeOf(core.Refuse{})))
		Expect(l.Submit(core.RequestArrived{})).To(BeNil())
	})

	// Guards against a control goroutine that blocks because a traffic goroutine
	// has not received the previous command.
	It("abandons a request instead of blocking on it", func() {
		r := &effectRecorder{}
		l := NewLoop(r)
		ticket := newTicket(1)
		l.tickets[1] = ticket
		l.sendCommand(1, core.StartAttempt{})
		l.sendCommand(1, core.StartAttempt{})
		Expect(ticket.Commands).To(Receive())
		Expect(ticket.Commands).To(BeClosed())
		Expect(l.tickets).To(BeEmpty())
		Expect(r.effects).To(ConsistOf(HaveField("Level", core.LogError)))
	})

	// Guards against leaked tickets, and against a streamed response that cannot
	// be canceled because its ticket was removed too early.
	It("keeps the ticket of a streamed response until it is delivered", func() {
		l := NewLoop(&effectRecorder{})
		l.tickets[1], l.tickets[2] = newTicket(1), newTicket(2)
		id := func(request core.RequestID) core.AttemptID { return core.AttemptID{Request: request, Number: 1} }
		l.apply(queuedEvent{event: core.AnswerBegun{Attempt: id(1)}})
		l.execute(core.PassAnswer{Attempt: id(1)})
		l.execute(core.PassAnswer{Attempt: id(2)})
		Expect(l.tickets).To(HaveLen(1))
		l.apply(queuedEvent{event: core.AnswerDelivered{Attempt: id(1)}})
		Expect(l.tickets).To(BeEmpty())
	})
})

var _ = Describe("the wakeups", func() {
	// Guards against a wakeup that is lost because an earlier or a later one is
	// added.
	It("are returned in order, the earliest first", func() {
		var w wakeups
		for _, at := range []core.Instant{50, 10, 30, 10, 90} {
			w.add(at)
		}
		var seen []core.Instant
		for now := w.next(100); now < 100; now = w.next(100) {
			seen = append(seen, now)
			w.removeThrough(now)
		}
		Expect(seen).To(Equal([]core.Instant{10, 30, 50, 90}))
		w.add(200)
		Expect(w.next(100)).To(BeEquivalentTo(100))
	})

	// Guards against memory use that grows with the number of requested wakeups.
	It("are bounded, and the latest is dropped at the limit", func() {
		var w wakeups
		for at := range core.Instant(2 * maxWakeups) {
			w.add(at)
		}
		Expect(w.instants).To(HaveLen(maxWakeups))
		Expect(w.next(1 << 40)).To(BeZero())
	})
})

var _ = Describe("the mailbox", func() {
	// Guards against memory use that grows without bound under overload.
	It("rejects arrivals at their limit, and still accepts other events", func() {
		m := newMailbox()
		for range arrivalLimit {
			Expect(m.offer(queuedEvent{})).To(BeTrue())
		}
		Expect(m.offer(queuedEvent{})).To(BeFalse())
		m.put(queuedEvent{})
		Expect(m.drain(nil)).To(HaveLen(arrivalLimit + 1))
		Expect(m.offer(queuedEvent{})).To(BeTrue())
	})

	// Guards against events that are dropped because the mailbox is full.
	It("blocks senders while it is full", func() {
		m := newMailbox()
		for range eventLimit {
			m.put(queuedEvent{})
		}
		sent := make(chan struct{})
		go func() {
			m.put(queuedEvent{event: core.Tick{}})
			close(sent)
		}()
		Consistently(sent).ShouldNot(BeClosed())
		Expect(m.drain(nil)).To(HaveLen(eventLimit))
		Eventually(sent).WithTimeout(waitTimeout).Should(BeClosed())
		Expect(m.drain(nil)).To(HaveLen(1))
	})
})

type fakeAttempt struct {
	canceled int
	rate     int64
}

func (a *fakeAttempt) Cancel()            { a.canceled++ }
func (a *fakeAttempt) SetRate(rate int64) { a.rate = rate }

var _ = Describe("a ticket", func() {
	// Guards against a cancellation or a rate that is lost because it precedes
	// Attach, or that affects a later attempt than the one it is meant for.
	It("applies cancellations and rates to the attempt with their number", func() {
		t := newTicket(1)
		t.cancelAttempt(1)
		t.changeRate(2, 500)
		first, second := &fakeAttempt{}, &fakeAttempt{}
		t.Attach(1, first)
		Expect(first.canceled).To(Equal(1))
		t.Attach(2, second)
		Expect(second.rate).To(BeEquivalentTo(500))
		t.cancelAttempt(1)
		t.changeRate(1, 900)
		Expect(*second).To(Equal(fakeAttempt{rate: 500}))
		t.cancelAttempt(2)
		Expect(second.canceled).To(Equal(1))
	})
})
