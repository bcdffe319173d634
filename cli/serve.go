package cli

import (
	"context"
	"io"

	"wisteriapond/entryhost"
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
