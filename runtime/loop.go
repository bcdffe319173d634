// Package runtime runs the reducer: it turns sockets and timers into events
// and carries out effects. It decides nothing.
package runtime

import (
	"context"
	"sync/atomic"
	"time"

	"wisteriapond/core"
)

// mailboxLimit bounds the events that wait when a request arrives. At the
// limit the request is refused as not run.
const mailboxLimit = 65536

// Handler carries out the effects that do not belong to one request. Its
// methods run on the control goroutine and must not block.
type Handler interface {
	Handle(effect core.Effect)
}

// StepObserver is a Handler that also wants to know how long each step took,
// effects included. It runs on the control goroutine and must not block.
type StepObserver interface {
	ObserveStep(took time.Duration)
}

// Loop owns the control state. Run is the control goroutine.
type Loop struct {
	mailbox *mailbox
	state   *core.State
	effects core.Effects
	tickets map[core.RequestID]*Ticket
	handler Handler
	observe StepObserver
	origin  time.Time
	nextID  atomic.Uint64
	view    atomic.Pointer[core.View]
	ready   atomic.Bool
	timer   *time.Timer
	wakeAt  core.Instant
	done    chan struct{}
}

// NewLoop returns a loop over an empty state.
func NewLoop(handler Handler) *Loop {
	l := &Loop{
		mailbox: newMailbox(),
		state:   core.New(),
		tickets: make(map[core.RequestID]*Ticket),
		handler: handler,
		origin:  time.Now(),
		timer:   time.NewTimer(core.TickInterval),
		done:    make(chan struct{}),
	}
	l.observe, _ = handler.(StepObserver)
	l.view.Store(&core.View{})
	return l
}

// Now returns the current instant of the process's monotonic clock.
func (l *Loop) Now() core.Instant {
	return core.Instant(time.Since(l.origin))
}

// Deadline returns the wall-clock time of an instant, for socket deadlines.
func (l *Loop) Deadline(at core.Instant) time.Time {
	return l.origin.Add(time.Duration(at))
}

// View returns the immutable facts for traffic goroutines.
func (l *Loop) View() *core.View { return l.view.Load() }

// Ready reports whether the process takes requests.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Done is closed when the reducer has asked for the end of the process.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Send queues an event.
func (l *Loop) Send(event core.Event) {
	l.mailbox.put(item{event: event}, 0)
}

// Submit queues the arrival of a request and returns its ticket, or nil when
// the process is overloaded.
func (l *Loop) Submit(arrival core.RequestArrived) *Ticket {
	arrival.ID = core.RequestID(l.nextID.Add(1))
	ticket := &Ticket{ID: arrival.ID, Commands: make(chan core.Effect, 1)}
	if !l.mailbox.put(item{event: arrival, ticket: ticket}, mailboxLimit) {
		return nil
	}
	return ticket
}

// Run applies events until ctx is done or the reducer emits Exit.
func (l *Loop) Run(ctx context.Context) error {
	defer l.timer.Stop()
	var batch []item
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.done:
			return nil
		case <-l.mailbox.wake:
			batch = l.mailbox.take(batch)
			for _, i := range batch {
				l.apply(i)
			}
		case <-l.timer.C:
			l.resetTimer(l.Now().Add(core.TickInterval))
			l.apply(item{event: core.Tick{}})
		}
	}
}

func (l *Loop) apply(i item) {
	if i.ticket != nil {
		l.tickets[i.ticket.ID] = i.ticket
	}
	begin := l.Now()
	l.state.Step(begin, i.event, &l.effects)
	for _, effect := range l.effects.All() {
		l.carryOut(effect)
	}
	l.effects.Reset()
	if delivered, ok := i.event.(core.AnswerDelivered); ok {
		delete(l.tickets, delivered.Attempt.Request)
	}
	if l.observe != nil {
		l.observe.ObserveStep(l.Now().Sub(begin))
	}
}

func (l *Loop) carryOut(effect core.Effect) {
	switch e := effect.(type) {
	case core.StartAttempt:
		l.command(e.Attempt.Request, e)
	case core.PassAnswer:
		l.command(e.Attempt.Request, e)
	case core.Refuse:
		l.command(e.Request, e)
		delete(l.tickets, e.Request)
	case core.Fail:
		l.command(e.Request, e)
		delete(l.tickets, e.Request)
	case core.CancelAttempt:
		if ticket := l.tickets[e.Attempt.Request]; ticket != nil {
			ticket.cancelAttempt(e.Attempt.Number)
		}
	case core.SetTransferRate:
		if ticket := l.tickets[e.Attempt.Request]; ticket != nil {
			ticket.changeRate(e.Rate)
		}
	case core.WakeAt:
		if e.At < l.wakeAt {
			l.resetTimer(e.At)
		}
	case core.PublishView:
		l.view.Store(&e.View)
	case core.SetReady:
		l.ready.Store(e.Ready)
		l.handler.Handle(e)
	case core.Exit:
		l.exit()
	default:
		l.handler.Handle(effect)
	}
}

func (l *Loop) command(id core.RequestID, effect core.Effect) {
	if ticket := l.tickets[id]; ticket != nil {
		ticket.note(effect)
		ticket.Commands <- effect
	}
}

func (l *Loop) resetTimer(at core.Instant) {
	l.wakeAt = at
	l.timer.Reset(max(0, at.Sub(l.Now())))
}

func (l *Loop) exit() {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
}
