// Package cli implements the commands of the wisteriapond binary, one file per
// command.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"wisteriapond/document"
)

// Exit statuses.
const (
	exitFailure = 1
	// exitRefused is the status for refused arguments, settings and
	// configurations.
	exitRefused = 2
)

// serveName is the name of serveCommand, the only command that reloads settings.
const serveName = "serve"

type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run an entry host."`
	Check   checkCommand   `cmd:"" help:"Check settings and published configurations."`
	Explain explainCommand `cmd:"" help:"Explain how a request is routed and why upstreams are excluded."`
	Status  statusCommand  `cmd:"" help:"Show the state of a running entry host."`
	Demo    demoCommand    `cmd:"" help:"Run a complete demo deployment on loopback in one process."`
	Load    loadCommand    `cmd:"" help:"Send requests at a bounded rate and show latencies."`
	Keys    keysCommand    `cmd:"" help:"Create and show the keys of entry hosts."`
	Trace   traceCommand   `cmd:"" help:"Collect the log entries of one request from several hosts."`
	Replay  replayCommand  `cmd:"" help:"Print the effects of recorded events as JSON lines."`
	Version versionCommand `cmd:"" help:"Print the version."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install completions for the user's shell."`
}

// Main is Run for the main function. It handles signals until the process exits, so
// that a further signal does not change the status of a stop that is complete.
func Main(args []string, stdout, stderr io.Writer) int {
	return run(handleSignals(), args, stdout, stderr)
}

// Run parses the command line, runs the command and returns the exit status. It
// handles signals until it returns.
func Run(args []string, stdout, stderr io.Writer) int {
	s := handleSignals()
	defer s.release()
	return run(s, args, stdout, stderr)
}

func run(s *signals, args []string, stdout, stderr io.Writer) int {
	parser, err := newParser(stdout, stderr)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailure
	}
	// Complete exits the process if the shell requests completions.
	kongplete.Complete(parser)
	parsed, err := parser.Parse(args)
	if err != nil {
		parser.Errorf("%s", err)
		return exitRefused
	}
	ctx := s.stop
	if parsed.Command() != serveName {
		ctx = s.stopOnHangup()
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.Bind(s.hangups)
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

// output hides the concrete type of the writer from kong.
type output struct{ io.Writer }

// usageError reports invalid arguments that the parser does not detect.
type usageError struct{ reason string }

func (e *usageError) Error() string { return e.reason }

func exitStatus(err error) int {
	var documentErr *document.Error
	var usageErr *usageError
	if errors.As(err, &documentErr) || errors.As(err, &usageErr) {
		return exitRefused
	}
	return exitFailure
}
