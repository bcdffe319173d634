package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"wisteriapond/core"
)

const (
	askTimeout = 10 * time.Second
	// maxAnswerBytes bounds the answer of an admin listener.
	maxAnswerBytes = 256 << 20
)

type statusCommand struct {
	Admin string `arg:"" optional:"" default:"127.0.0.1:9190" help:"Admin address of the entry host."`
	JSON  bool   `name:"json" help:"Print JSON, with every field that the host reports."`
}

// Help is shown by "status --help".
func (*statusCommand) Help() string {
	return `Examples:
  wisteriapond status
  wisteriapond status --json 127.0.0.1:9190`
}

// Run asks a host for its state.
func (c *statusCommand) Run(ctx context.Context, stdout io.Writer) error {
	raw, err := askAdmin(ctx, c.Admin, "/status")
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(stdout, json.RawMessage(raw))
	}
	var status core.Status
	if err := json.Unmarshal(raw, &status); err != nil {
		return fmt.Errorf("answer of %s: %w", c.Admin, err)
	}
	return printStatus(stdout, &status)
}

// askAdmin returns the answer of an admin listener.
func askAdmin(ctx context.Context, admin, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", admin, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %s: %s", admin, response.Status, strings.TrimSpace(string(raw)))
	}
	return raw, nil
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printStatus(w io.Writer, s *core.Status) error {
	fmt.Fprintf(w, "host:        %s\nready:       %v\nstopping:    %v\ngeneration:  %d\nhash:        %s\n",
		s.Host, s.Ready, s.Stopping, s.Version.Generation, s.Version.Hash)
	if leaving := leavingHosts(s); len(leaving) > 0 {
		fmt.Fprintf(w, "leaving:     %s\n", strings.Join(leaving, ", "))
	}
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tUPSTREAM\tHOST\tRUNNING\tSLOTS\tSTATE")
	for _, service := range s.Services {
		fmt.Fprintf(table, "%s\t\t\t%d\t\twaiting: %d\n", service.Name, service.Running, service.Waiting)
		for _, u := range service.Upstreams {
			fmt.Fprintf(table, "\t%s\t%s\t%d\t%d\t%s\n", u.Name, u.Host, u.Running, u.Slots, stateOf(&u))
		}
	}
	return table.Flush()
}

func stateOf(u *core.UpstreamStatus) string {
	if u.Leaving {
		return "leaving"
	}
	return ""
}

func leavingHosts(s *core.Status) []string {
	var names []string
	for _, host := range s.Hosts {
		if host.Leaving {
			names = append(names, host.Host)
		}
	}
	return names
}
