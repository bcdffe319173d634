package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signals are the signals that the process handles instead of ending at once.
type signals struct {
	// stop is done after the first SIGTERM or interrupt.
	stop    context.Context
	hangups hangups
	release func()
}

// hangups receives SIGHUP. One that is not received yet stands for all later ones.
type hangups chan os.Signal

// handleSignals begins to handle signals. A SIGHUP that comes while the settings are
// read or listeners are opened must not end the process.
func handleSignals() *signals {
	s := &signals{hangups: make(hangups, 1)}
	signal.Notify(s.hangups, syscall.SIGHUP)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	s.stop = stop
	s.release = func() {
		signal.Stop(s.hangups)
		cancel()
	}
	return s
}

// stopOnHangup returns a context that is also done after the first SIGHUP, for
// commands that have no settings to reload.
func (s *signals) stopOnHangup() context.Context {
	ctx, cancel := context.WithCancel(s.stop)
	go func() {
		select {
		case <-s.hangups:
		case <-ctx.Done():
		}
		cancel()
	}()
	return ctx
}

// reload calls the given function on each SIGHUP until the returned function is
// called.
func (h hangups) reload(apply func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-h:
				apply()
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}
