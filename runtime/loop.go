// Package runtime runs the reducer: it turns sockets and timers into events
// and carries out effects. It decides nothing.
package runtime

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"wisteriapond/core"
)

// maxAttemptNumber is above the number of any attempt.
const maxAttemptNumber = math.MaxInt

// Handler carries out the effects that do not belong to one request. Its
// methods run on the control goroutine and must not block; in particular they
// must not call Send.
type Handler interface {
	Handle(effect core.Effect)
}

// StepObserver is a Handler that also wants to know how long each step took,
// effects included. It runs on the control goroutine and must not block.
type StepObserver interface {
	ObserveStep(took time.Duration)
}

// Recorder takes each event with its instant and the effects that followed from
// it, before they are carried out. It runs on the control goroutine and must
// not block. The effects are valid during the call; events never change.
type Recorder func(at core.Instant, event core.Event, effects []core.Effect)

// Loop owns the control state. Run is the control goroutine.
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
	wakes        wakeups
	nextTick     core.Instant
	openRequests atomic.Int64
	done         chan struct{}
}

// NewLoop returns a loop over an empty state.
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

// SetRecorder sets what takes the events. It must be set before Run.
func (l *Loop) SetRecorder(record Recorder) { l.record = record }

// Now returns the current instant of a clock that goes on while the machine is
// suspended.
func (l *Loop) Now() core.Instant { return l.clock.now() }

// Deadline returns the wall-clock time of an instant, for socket deadlines.
func (l *Loop) Deadline(at core.Instant) time.Time { return l.clock.deadline(at) }

// View returns the immutable facts for traffic goroutines.
func (l *Loop) View() *core.View { return l.view.Load() }

// Ready reports whether the process takes requests.
func (l *Loop) Ready() bool { return l.ready.Load() }

// OpenRequests returns the number of requests that the reducer has not ended.
func (l *Loop) OpenRequests() int { return int(l.openRequests.Load()) }

// Done is closed when the reducer has asked for the end of the process.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Send queues an event. It waits while the mailbox is full.
func (l *Loop) Send(event core.Event) {
	l.mailbox.put(queuedEvent{event: event})
}

// Submit queues the arrival of a request and returns its ticket, or nil when
// the process is overloaded or has ended. A ticket gets exactly one command
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
			for _, i := range batch {
				l.tickIfDue()
				l.apply(i)
			}
		case <-l.timer.C:
			l.tickIfDue()
		}
		l.setTimer()
	}
}

// tickIfDue applies a Tick whose time has come. It runs before every other
// event, so that after a pause the reducer learns of the pause first.
func (l *Loop) tickIfDue() {
	now := l.Now()
	if now < l.wakes.next(l.nextTick) {
		return
	}
	l.wakes.removeThrough(now)
	l.nextTick = now.Add(core.TickInterval)
	l.apply(queuedEvent{event: core.Tick{}})
}

func (l *Loop) setTimer() {
	l.timer.Reset(max(0, l.wakes.next(l.nextTick).Sub(l.Now())))
}

func (l *Loop) apply(i queuedEvent) {
	if i.ticket != nil {
		l.tickets[i.ticket.ID] = i.ticket
	}
	if begun, ok := i.event.(core.AnswerBegun); ok {
		l.setStreaming(begun.Attempt.Request, true)
	}
	begin := l.Now()
	l.state.Step(begin, i.event, &l.effects)
	if l.record != nil {
		l.record(begin, i.event, l.effects.All())
	}
	for _, effect := range l.effects.All() {
		l.execute(effect)
	}
	l.effects.Reset()
	if delivered, ok := i.event.(core.AnswerDelivered); ok {
		delete(l.tickets, delivered.Attempt.Request)
	}
	l.openRequests.Store(int64(len(l.tickets)))
	if l.stepObserver != nil {
		l.stepObserver.ObserveStep(l.Now().Sub(begin))
	}
}

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
		l.wakes.add(e.At)
	case core.PublishView:
		l.view.Store(&e.View)
	case core.SetReady:
		l.ready.Store(e.Ready)
		l.handler.Handle(e)
	case core.Exit:
		l.closeDone()
	default:
		l.handler.Handle(effect)
	}
}

// passResponse hands an answer on. A held answer ends the request; a streamed one
// ends with AnswerDelivered, until when it can be cancelled and paced.
func (l *Loop) passResponse(e core.PassAnswer) {
	id := e.Attempt.Request
	l.sendCommand(id, e)
	if ticket := l.tickets[id]; ticket != nil && !ticket.streaming {
		delete(l.tickets, id)
	}
}

// sendCommand hands a sendCommand to the request's traffic goroutine. The goroutine
// has taken the one before, since the reducer waits for its result; a second
// one would block the control goroutine, so the request is given up instead.
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
		l.handler.Handle(core.Log{Level: core.LogError, Message: "two commands at once for one request"})
	}
}

func (l *Loop) closeDone() {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
}

// shutdown releases the traffic goroutines whose requests are not over.
func (l *Loop) shutdown() {
	l.closeDone()
	for _, i := range l.mailbox.close() {
		if i.ticket != nil {
			i.ticket.abandon()
		}
	}
	for _, ticket := range l.tickets {
		ticket.abandon()
	}
	clear(l.tickets)
	l.openRequests.Store(0)
}
