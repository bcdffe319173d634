package cli

import (
	"context"
	"io"
	"os"
	"runtime/debug"

	"wisteriapond/entryhost"
	"wisteriapond/intake"
	"wisteriapond/settings"
)

type serveCommand struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"File with the settings of this process."`
}

// Help is shown by "serve --help".
func (*serveCommand) Help() string {
	return `SIGTERM or an interrupt starts a planned stop: the host reports that it is not
ready, keeps accepting connections for the time accept_for, finishes all
requests in flight, and exits. SIGHUP checks the key files for changes
immediately. With a store, it also applies seeds, retry limits and prices from
the settings file; settings that are refused change nothing. Log entries are
written to standard output.

Example:
  wisteriapond serve --settings examples/boisclair/settings.json`
}

// Run serves requests until SIGTERM or an interrupt, which starts a planned stop.
func (c *serveCommand) Run(ctx context.Context, hangups hangups, stdout io.Writer) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	limitHeap(s)
	logs := newLogQueue(stdout)
	defer logs.Close()
	host, err := entryhost.New(s, newLogger(logs))
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, host.Stop)
	host.WatchSettings(c.Settings)
	defer hangups.reload(func() {
		host.ReloadKeys()
		host.ReloadSettings()
	})()
	return host.Run(context.WithoutCancel(ctx))
}

// limitHeap makes the collector run more often as the heap approaches its part of the
// memory. Otherwise the garbage of a crowd of callers may exceed the limit while little
// of the heap is in use. A limit in the environment applies instead.
func limitHeap(s *settings.Settings) {
	heap := intake.BoundsOf(s.Limits.Intake()).Heap
	if _, set := os.LookupEnv("GOMEMLIMIT"); heap > 0 && !set {
		debug.SetMemoryLimit(heap)
	}
}
