// Package cli has the commands of the wisteriapond binary, one file each.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"wisteriapond/document"
)

// Exit statuses.
const (
	exitFailed = 1
	// exitRefused is for refused arguments, settings and configurations.
	exitRefused = 2
)

type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run an entry host."`
	Check   checkCommand   `cmd:"" help:"Check settings and published configurations."`
	Explain explainCommand `cmd:"" help:"Tell where a request goes and why not elsewhere."`
	Status  statusCommand  `cmd:"" help:"Show the state of a running entry host."`
	Demo    demoCommand    `cmd:"" help:"Run everything on loopback in one process."`
	Load    loadCommand    `cmd:"" help:"Send a bounded load and show latencies."`
	Keys    keysCommand    `cmd:"" help:"Make and show the keys of entry hosts."`
	Trace   traceCommand   `cmd:"" help:"Gather the log lines of one request from several hosts."`
	Replay  replayCommand  `cmd:"" help:"Print the effects of recorded events as JSON lines."`
	Version versionCommand `cmd:"" help:"Print the version."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install completions for the user's shell."`
}

// Run parses the command line, runs the command and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	parser, err := newParser(stdout, stderr)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	// Complete ends the process when the shell asks for completions.
	kongplete.Complete(parser)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed, err := parser.Parse(args)
	if err != nil {
		parser.Errorf("%s", err)
		return exitRefused
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitStatus(err)
	}
	return 0
}

func newParser(stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(&commands{},
		kong.Name("wisteriapond"),
		kong.Description("A load balancer for servers whose load shifts in milliseconds."),
		kong.Writers(stdout, stderr),
		kong.BindTo(output{stdout}, (*io.Writer)(nil)),
		kong.Bind(logOutput{stderr}),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}

// output keeps kong from binding the writer under its own type.
type output struct{ io.Writer }

// usageError is a refusal of arguments that the parser cannot see.
type usageError struct{ reason string }

func (e *usageError) Error() string { return e.reason }

func exitStatus(err error) int {
	var refused *document.Error
	var usage *usageError
	if errors.As(err, &refused) || errors.As(err, &usage) {
		return exitRefused
	}
	return exitFailed
}
