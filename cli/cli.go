// Package cli has the commands of the wisteriapond binary.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"wisteriapond/entryhost"
	"wisteriapond/settings"
)

// Version is the version of the binary.
const Version = "0.1.0"

// exitRefused is the exit status for refused settings and configurations.
const exitRefused = 2

type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run an entry host."`
	Demo    demoCommand    `cmd:"" help:"Run everything on loopback in one process."`
	Keys    keysCommand    `cmd:"" help:"Make and show the keys of entry hosts."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// Run parses the command line, runs the command and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	var c commands
	parser, err := kong.New(&c,
		kong.Name("wisteriapond"),
		kong.Description("A load balancer for servers whose load shifts in milliseconds."),
		kong.Writers(stdout, stderr),
		kong.BindTo(stdout, (*io.Writer)(nil)),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitRefused
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitStatus(err)
	}
	return 0
}

func exitStatus(err error) int {
	if _, ok := err.(*settings.Error); ok {
		return exitRefused
	}
	return 1
}

func newLogger(w io.Writer) *log.Logger {
	return &log.Logger{Handler: jsonlog.New(w), Level: log.InfoLevel}
}

type versionCommand struct{}

// Run prints the version.
func (*versionCommand) Run(stdout io.Writer) error {
	_, err := fmt.Fprintln(stdout, "wisteriapond", Version)
	return err
}

type serveCommand struct {
	Settings string `required:"" type:"path" help:"File with the settings of this process."`
}

// Run serves until SIGTERM or an interrupt, then drains.
func (c *serveCommand) Run(ctx context.Context) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	host, err := entryhost.New(s, newLogger(os.Stderr))
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, host.Stop)
	return host.Run(context.WithoutCancel(ctx))
}
