package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"wisteriapond/load"
)

type loadCommand struct {
	Targets     []string      `arg:"" name:"target" help:"URL, or LABEL=URL to label the results of this target."`
	Method      string        `default:"GET" help:"Method of the requests."`
	Header      []string      `short:"H" sep:"none" placeholder:"NAME:VALUE" help:"Header of the requests. May be repeated."`
	Body        string        `help:"Body of the requests."`
	Rate        float64       `default:"100" help:"Number of requests to start per second."`
	Requests    int           `default:"1000" help:"Number of requests after which the run ends."`
	Duration    time.Duration `default:"10s" help:"Time after which the run ends."`
	InFlight    int           `default:"256" help:"Maximum number of requests in flight."`
	Timeout     time.Duration `default:"30s" help:"Time limit of one request."`
	AllowRemote bool          `help:"Permit targets that are not on loopback."`
	JSON        bool          `name:"json" help:"Print JSON."`
}

// Help is shown by "load --help".
func (*loadCommand) Help() string {
	return `Requests are scheduled at fixed intervals, whether or not earlier ones have been
answered, and latency is measured from the scheduled start of a request. The run
ends after the given number of requests or time, whichever comes first. Targets
outside loopback are refused without --allow-remote.

Examples:
  wisteriapond load http://127.0.0.1:18080/catalogue/urn-7
  wisteriapond load --rate 500 --requests 5000 \
    lookup=http://127.0.0.1:18080/catalogue/urn-7 proof=http://127.0.0.1:18080/files/proof`
}

// Run sends the load and prints the results.
func (c *loadCommand) Run(ctx context.Context, stdout io.Writer) error {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	results, err := load.Run(ctx, plan)
	var planErr *load.PlanError
	if errors.As(err, &planErr) {
		return &usageError{planErr.Error()}
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(stdout, results.Summaries())
	}
	return results.WriteText(stdout)
}

func (c *loadCommand) plan() (load.Plan, error) {
	plan := load.Plan{
		Method:      strings.ToUpper(c.Method),
		Header:      make(http.Header),
		Body:        []byte(c.Body),
		Rate:        c.Rate,
		Requests:    c.Requests,
		Duration:    c.Duration,
		InFlight:    c.InFlight,
		Timeout:     c.Timeout,
		AllowRemote: c.AllowRemote,
	}
	for _, target := range c.Targets {
		plan.Targets = append(plan.Targets, parseTarget(target))
	}
	for _, line := range c.Header {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return plan, &usageError{fmt.Sprintf("header %q must be NAME:VALUE", line)}
		}
		plan.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return plan, nil
}

// parseTarget splits LABEL=URL. An "=" after the scheme is part of the URL.
func parseTarget(text string) load.Target {
	label, url, ok := strings.Cut(text, "=")
	if !ok || strings.Contains(label, "://") {
		return load.Target{Label: text, URL: text}
	}
	return load.Target{Label: label, URL: url}
}
