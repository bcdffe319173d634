// Package runtime runs the reducer on one control goroutine: it passes events
// from sockets and timers to the reducer and executes the effects that it
// returns. All decisions are made by the reducer.
package runtime

import (
	"context"
	"fmt"
	"math"
	"runtime/debug"
	"sync/atomic"
	"time"

	"wisteriapond/core"
)

// maxAttemptNumber is greater than the number of any attempt.
const maxAttemptNumber = math.MaxInt

// Handler executes the effects that do not belong to a single request. Its
// methods run on the control goroutine and must not block; in particular, they
// must not call Loop.Send.
type Handler interface {
	Handle(effect core.Effect)
}

// StepObserver is implemented by a Handler that also observes the duration of
// each step, including its effects. It runs on the control goroutine and must
// not block.
type StepObserver interface {
	ObserveStep(took time.Duration)
}

// Recorder receives each event with its instant and the resulting effects,
// before they are executed. It runs on the control goroutine and must not
// block. The slice of effects is valid only during the call; events are
// immutable.
type Recorder func(at core.Instant, event core.Event, effects []core.Effect)

// Loop owns the control state. Run is the body of the control goroutine.
type Loop struct {
	mailbox      *mailbox
	state        *core.State
	effects      core.Effects
	tickets      map[core.RequestID]*Ticket
	handler      Handler
	stepObserver StepObserver
	record       Recorder
	clock        clock
	nextID       atomic.Uint64
	view         atomic.Pointer[core.View]
	ready        atomic.Bool
	timer        *time.Timer
	wakeups      wakeups
	nextTick     core.Instant
	openRequests atomic.Int64
	// panics is the number of panics of the reducer.
	panics int
	// exited is set once the reducer has emitted Exit.
	exited bool
	done   chan struct{}
}

// NewLoop returns a loop with an empty state. A handler that implements
// StepObserver also observes the duration of each step.
func NewLoop(handler Handler) *Loop {
	l := &Loop{
		mailbox: newMailbox(),
		state:   core.New(),
		tickets: make(map[core.RequestID]*Ticket),
		handler: handler,
		clock:   newClock(),
		timer:   time.NewTimer(core.TickInterval),
		done:    make(chan struct{}),
	}
	l.nextTick = l.Now().Add(core.TickInterval)
	l.stepObserver, _ = handler.(StepObserver)
	l.view.Store(&core.View{})
	return l
}

// SetRecorder sets the recorder of events. It must be called before Run.
func (l *Loop) SetRecorder(record Recorder) { l.record = record }

// Now returns the current instant. The clock continues while the machine is
// suspended.
func (l *Loop) Now() core.Instant { return l.clock.now() }

// Deadline returns the instant as a time.Time for socket deadlines.
func (l *Loop) Deadline(at core.Instant) time.Time { return l.clock.deadline(at) }

// View returns the immutable state that the reducer last published for traffic
// goroutines.
func (l *Loop) View() *core.View { return l.view.Load() }

// Ready reports whether the process accepts requests.
func (l *Loop) Ready() bool { return l.ready.Load() }

// OpenRequests returns the number of requests that have not ended.
func (l *Loop) OpenRequests() int { return int(l.openRequests.Load()) }

// Done returns a channel that is closed when the reducer has emitted Exit or Run
// has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Send queues an event. It blocks while the mailbox is full. After the end of
// Run it drops the event.
func (l *Loop) Send(event core.Event) {
	l.mailbox.put(queuedEvent{event: event})
}

// Submit queues the arrival of a request and returns its ticket, or nil if the
// process is overloaded or Run has ended. A ticket receives exactly one command
// that ends the request, or its channel is closed.
func (l *Loop) Submit(arrival core.RequestArrived) *Ticket {
	arrival.ID = core.RequestID(l.nextID.Add(1))
	ticket := newTicket(arrival.ID)
	if !l.mailbox.offer(queuedEvent{event: arrival, ticket: ticket}) {
		return nil
	}
	return ticket
}

// Run applies events until ctx is done or the reducer emits Exit.
func (l *Loop) Run(ctx context.Context) error {
	defer l.shutdown()
	defer l.timer.Stop()
	var batch []queuedEvent
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.done:
			return nil
		case <-l.mailbox.wake:
			batch = l.mailbox.drain(batch)
			for _, queued := range batch {
				l.tickIfDue()
				l.apply(queued)
			}
		case <-l.timer.C:
			l.tickIfDue()
		}
		l.setTimer()
	}
}

// tickIfDue applies a Tick if one is due. It is called before every other event,
// so that after a pause of the process the reducer detects the pause first.
func (l *Loop) tickIfDue() {
	now := l.Now()
	if now < l.wakeups.next(l.nextTick) {
		return
	}
	l.wakeups.removeThrough(now)
	l.nextTick = now.Add(core.TickInterval)
	l.apply(queuedEvent{event: core.Tick{}})
}

func (l *Loop) setTimer() {
	l.timer.Reset(max(0, l.wakeups.next(l.nextTick).Sub(l.Now())))
}

// apply applies one event to the state and executes the resulting effects.
func (l *Loop) apply(queued queuedEvent) {
	if queued.ticket != nil {
		l.tickets[queued.ticket.ID] = queued.ticket
	}
	if started, ok := queued.event.(core.AnswerBegun); ok {
		l.setStreaming(started.Attempt.Request, true)
	}
	startedAt := l.Now()
	l.step(startedAt, queued.event)
	if l.record != nil {
		l.record(startedAt, queued.event, l.effects.All())
	}
	for _, effect := range l.effects.All() {
		l.execute(effect)
	}
	l.effects.Reset()
	if delivered, ok := queued.event.(core.AnswerDelivered); ok {
		delete(l.tickets, delivered.Attempt.Request)
	}
	l.openRequests.Store(int64(len(l.tickets)))
	if l.stepObserver != nil {
		l.stepObserver.ObserveStep(l.Now().Sub(startedAt))
	}
}

// step applies an event to the state. After a panic of the reducer the effects of
// the step are dropped, and the request that the event belongs to is abandoned: the
// loss of one request is better than that of all requests in progress.
func (l *Loop) step(at core.Instant, event core.Event) {
	defer func() {
		if value := recover(); value != nil {
			l.effects.Reset()
			l.stepPanicked(event, value)
		}
	}()
	l.state.Step(at, event, &l.effects)
}

// maxPanicLogs bounds the log entries about panics of the reducer.
const maxPanicLogs = 100

// stepPanicked reports a panic of the reducer and ends the request concerned.
func (l *Loop) stepPanicked(event core.Event, value any) {
	l.panics++
	l.handler.Handle(core.Count{Counter: core.CounterPanics, Add: 1})
	if l.panics <= maxPanicLogs {
		l.handler.Handle(core.Log{Level: core.LogError, Message: "recovered from a panic of the reducer", Fields: []core.LogField{
			{Key: "event", Value: fmt.Sprintf("%T", event)},
			{Key: "fault", Value: fmt.Sprint(value)},
			{Key: "stack", Value: string(debug.Stack())},
		}})
	}
	if ticket := l.tickets[requestOf(event)]; ticket != nil {
		delete(l.tickets, ticket.ID)
		ticket.abandon()
	}
}

// requestOf returns the request that an event belongs to, 0 if it belongs to none.
func requestOf(event core.Event) core.RequestID {
	switch e := event.(type) {
	case core.RequestArrived:
		return e.ID
	case core.AnswerBegun:
		return e.Attempt.Request
	case core.AttemptFinished:
		return e.Attempt.Request
	case core.AnswerDelivered:
		return e.Attempt.Request
	case core.CallerGone:
		return e.ID
	}
	return 0
}

// setStreaming records whether the response of a request is being streamed.
func (l *Loop) setStreaming(id core.RequestID, streaming bool) {
	if ticket := l.tickets[id]; ticket != nil {
		ticket.streaming = streaming
	}
}

func (l *Loop) execute(effect core.Effect) {
	switch e := effect.(type) {
	case core.StartAttempt:
		l.setStreaming(e.Attempt.Request, false)
		l.sendCommand(e.Attempt.Request, e)
	case core.PassAnswer:
		l.passResponse(e)
	case core.Refuse:
		l.sendCommand(e.Request, e)
		delete(l.tickets, e.Request)
	case core.Defer:
		l.sendCommand(e.Request, e)
		delete(l.tickets, e.Request)
	case core.Fail:
		l.sendCommand(e.Request, e)
		delete(l.tickets, e.Request)
	case core.CancelAttempt:
		if ticket := l.tickets[e.Attempt.Request]; ticket != nil {
			ticket.cancelAttempt(e.Attempt.Number)
		}
	case core.SetTransferRate:
		if ticket := l.tickets[e.Attempt.Request]; ticket != nil {
			ticket.changeRate(e.Attempt.Number, e.Rate)
		}
	case core.WakeAt:
		l.wakeups.add(e.At)
	case core.PublishView:
		l.view.Store(&e.View)
	case core.SetReady:
		l.ready.Store(e.Ready)
		l.handler.Handle(e)
	case core.Exit:
		l.exited = true
		l.closeDone()
	default:
		l.handler.Handle(effect)
	}
}

// passResponse passes a response on to the caller. A buffered response ends the
// request. The ticket of a streamed one is kept until AnswerDelivered, so that
// the response can be canceled and paced.
func (l *Loop) passResponse(e core.PassAnswer) {
	id := e.Attempt.Request
	l.sendCommand(id, e)
	if ticket := l.tickets[id]; ticket != nil && !ticket.streaming {
		delete(l.tickets, id)
	}
}

// sendCommand sends a command to the traffic goroutine of a request. The
// goroutine has received the previous command, because the reducer waits for the
// result of one command before it sends the next. If it has not, sending would
// block the control goroutine, and the request is abandoned instead.
func (l *Loop) sendCommand(id core.RequestID, effect core.Effect) {
	ticket := l.tickets[id]
	if ticket == nil {
		return
	}
	select {
	case ticket.Commands <- effect:
	default:
		delete(l.tickets, id)
		ticket.abandon()
		l.handler.Handle(core.Log{Level: core.LogError, Message: "request abandoned: its previous command has not been received"})
	}
}

// closeDone closes the channel returned by Done. It may be called repeatedly.
func (l *Loop) closeDone() {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
}

// shutdown releases the traffic goroutines whose requests have not ended. After Exit
// it applies the events that are still queued, so that responses which are ready are
// passed on and arrivals are refused.
func (l *Loop) shutdown() {
	l.closeDone()
	for _, queued := range l.mailbox.close() {
		switch {
		case l.exited:
			l.apply(queued)
		case queued.ticket != nil:
			queued.ticket.abandon()
		}
	}
	for _, ticket := range l.tickets {
		ticket.abandon()
	}
	clear(l.tickets)
	l.openRequests.Store(0)
}
