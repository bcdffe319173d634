package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"wisteriapond/core"
)

const (
	// adminTimeout bounds a request to an admin listener.
	adminTimeout = 10 * time.Second
	// maxResponseBytes bounds the size of a response of an admin listener.
	maxResponseBytes = 256 << 20
)

type statusCommand struct {
	Admin []string `arg:"" optional:"" default:"127.0.0.1:9190" help:"Admin addresses of entry hosts. With several addresses, one line is printed for each host."`
	JSON  bool     `name:"json" help:"Print JSON, with every field that a host reports. With several addresses, print a list."`
}

// Help is shown by "status --help".
func (*statusCommand) Help() string {
	return `The exit status is 1 if a host does not respond.

Examples:
  wisteriapond status
  wisteriapond status --json 127.0.0.1:9190
  wisteriapond status 127.0.0.1:18090 127.0.0.1:18091 127.0.0.1:18092`
}

// Run prints the state of the given hosts.
func (c *statusCommand) Run(ctx context.Context, stdout io.Writer) error {
	if len(c.Admin) > 1 {
		return c.runSeveral(ctx, stdout)
	}
	raw, status, err := fetchStatus(ctx, c.Admin[0])
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(stdout, raw)
	}
	return printStatus(stdout, status)
}

// runSeveral prints a summary of each host that responds and returns the errors
// of the others.
func (c *statusCommand) runSeveral(ctx context.Context, stdout io.Writer) error {
	var raws []json.RawMessage
	var statuses []*core.Status
	var failures []error
	for _, admin := range c.Admin {
		raw, status, err := fetchStatus(ctx, admin)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		raws = append(raws, raw)
		statuses = append(statuses, status)
	}
	var err error
	if c.JSON {
		err = printJSON(stdout, raws)
	} else {
		err = printSummaries(stdout, statuses)
	}
	return errors.Join(append(failures, err)...)
}

func fetchStatus(ctx context.Context, admin string) (json.RawMessage, *core.Status, error) {
	raw, err := queryAdmin(ctx, admin, "/status")
	if err != nil {
		return nil, nil, err
	}
	var status core.Status
	if err := json.Unmarshal(raw, &status); err != nil {
		return nil, nil, fmt.Errorf("decode the status of %s: %w", admin, err)
	}
	return raw, &status, nil
}

// latencyPrecision is the unit to which latencies in the table are rounded.
const latencyPrecision = 100 * time.Microsecond

// hashPrefixLength is the number of characters of a hash in the table, enough to
// distinguish versions at a glance.
const hashPrefixLength = 12

func printSummaries(w io.Writer, statuses []*core.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tREADY\tSTOPPING\tGENERATION\tHASH\tRUNNING\tWAITING\tLEAVING HOSTS")
	for _, s := range statuses {
		running, waiting := 0, 0
		for _, service := range s.Services {
			running += service.Running
			waiting += service.Waiting
		}
		hash := string(s.Version.Hash)
		fmt.Fprintf(table, "%s\t%v\t%v\t%d\t%s\t%d\t%d\t%d\n", s.Host, s.Ready, s.Stopping,
			s.Version.Generation, hash[:min(hashPrefixLength, len(hash))], running, waiting, len(leavingHosts(s)))
	}
	return table.Flush()
}

// queryAdmin sends a GET request to an admin listener and returns the body of the
// response. A status other than 200 is an error.
func queryAdmin(ctx context.Context, admin, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
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
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read the response of %s: %w", admin, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s responded with %s: %s", admin, response.Status, strings.TrimSpace(string(raw)))
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
	if s.MissingParts > 0 {
		fmt.Fprintf(w, "collecting:  generation %d, %d parts missing\n", s.Pending.Generation, s.MissingParts)
	}
	if leaving := leavingHosts(s); len(leaving) > 0 {
		fmt.Fprintf(w, "leaving:     %s\n", strings.Join(leaving, ", "))
	}
	if len(s.EmptiedDomains) > 0 {
		fmt.Fprintf(w, "emptied:     %s\n", strings.Join(s.EmptiedDomains, ", "))
	}
	if s.Measuring.PerMinute > 0 {
		fmt.Fprintf(w, "measuring:   %d probes per minute, %d bytes so far\n", s.Measuring.PerMinute, s.Measuring.Bytes)
	}
	if s.Store.Revision > 0 {
		fmt.Fprintf(w, "store:       era %d, revision %d, confirmed %s ago\n", s.Store.Era, s.Store.Revision, s.Store.Age.Round(time.Millisecond))
	}
	if len(s.Store.Withheld) > 0 {
		fmt.Fprintf(w, "withheld:    %s\n", strings.Join(s.Store.Withheld, ", "))
	}
	fmt.Fprintf(w, "leases:      %d slots held, %d granted to %d hosts\n", s.Leases.Held, s.Leases.Granted, s.Leases.Holders)
	if s.Cold.Upstreams > 0 {
		fmt.Fprintf(w, "cold:        %d upstreams, turns among %d hosts, used by this host: %v\n", s.Cold.Upstreams, s.Cold.Hosts, s.Cold.Active)
	}
	if err := printMembers(w, s.Members); err != nil {
		return err
	}
	return printServices(w, s.Services)
}

func printMembers(w io.Writer, members []core.MemberStatus) error {
	if len(members) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY HOST\tADDRESS\tREGION\tSTATE")
	for _, member := range members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", member.Name, member.Address, member.Region, member.State)
	}
	return table.Flush()
}

func printServices(w io.Writer, services []core.ServiceStatus) error {
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tUPSTREAM\tHOST\tRUNNING\tLIMIT\tSLOTS\tHELD\tLATENCY\tSTATE")
	for _, service := range services {
		fmt.Fprintf(table, "%s\t\t\t%d\t\t\t\t\twaiting: %d\n", service.Name, service.Running, service.Waiting)
		for _, u := range service.Upstreams {
			fmt.Fprintf(table, "\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n",
				u.Name, u.Host, u.Running, u.Limit, u.Slots, formatHeldSlots(&u), formatLatency(&u), upstreamState(&u))
		}
	}
	return table.Flush()
}

// formatHeldSlots returns the number of held slots, or "" for an upstream without
// leases.
func formatHeldSlots(u *core.UpstreamStatus) string {
	if !u.Leased {
		return ""
	}
	return strconv.Itoa(u.Held)
}

// formatLatency returns the rounded latency, or "" if none is known.
func formatLatency(u *core.UpstreamStatus) string {
	if u.Latency == 0 {
		return ""
	}
	return u.Latency.Round(latencyPrecision).String()
}

func upstreamState(u *core.UpstreamStatus) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Emptied:
		return "failure domain emptied"
	case u.Ejected:
		return "ejected"
	case u.ColdFor > 0:
		return "cold for " + u.ColdFor.Round(latencyPrecision).String()
	}
	return ""
}

func leavingHosts(s *core.Status) []string {
	var names []string
	for _, host := range s.Leaving {
		names = append(names, host.Host)
	}
	return names
}
