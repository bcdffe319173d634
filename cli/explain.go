package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"wisteriapond/config"
	"wisteriapond/document"
)

type explainCommand struct {
	Path   string   `arg:"" help:"Path of the request, with escapes as in the request; a query is ignored."`
	Method string   `default:"GET" help:"Method of the request."`
	Host   string   `help:"Host of the request."`
	Header []string `short:"H" sep:"none" placeholder:"NAME:VALUE" help:"Header of the request. May be repeated."`
	Config string   `type:"path" placeholder:"DIR" xor:"source" required:"" help:"Directory with a published configuration."`
	Admin  string   `placeholder:"ADDRESS" xor:"source" required:"" help:"Admin address of a running entry host."`
	JSON   bool     `name:"json" help:"Print JSON."`
}

// Help is shown by "explain --help".
func (*explainCommand) Help() string {
	return `Shows the service, the labels of the request, and for each upstream whether it
is eligible, or the host selector that excludes it and the term that does not
match. An upstream outside the regions that the route or the service allows is
excluded with "region not allowed". A running host also reports which upstreams are leaving or ejected, or stand in an emptied
failure domain.

Examples:
  wisteriapond explain --config examples/boisclair --method POST /orders/
  wisteriapond explain --admin 127.0.0.1:9190 -H 'X-Team: night' /catalogue/urn-7`
}

// Run explains how a request would be routed. Nothing is sent to a backend
// server.
func (c *explainCommand) Run(ctx context.Context, stdout io.Writer) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	explanation, err := c.explain(ctx, request)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(stdout, explanation)
	}
	return printExplanation(stdout, explanation)
}

func (c *explainCommand) request() (*config.Request, error) {
	request := &config.Request{Method: strings.ToUpper(c.Method), Host: c.Host, Path: config.TargetPath(c.Path)}
	for _, line := range c.Header {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, &usageError{fmt.Sprintf("header %q must be NAME:VALUE", line)}
		}
		request.Headers = append(request.Headers, config.Header{
			Name:  strings.ToLower(strings.TrimSpace(name)),
			Value: strings.TrimSpace(value),
		})
	}
	return request, nil
}

func (c *explainCommand) explain(ctx context.Context, request *config.Request) (config.Explanation, error) {
	if c.Admin != "" {
		return fetchExplanation(ctx, c.Admin, request)
	}
	table, err := document.LoadDirectory(os.DirFS(c.Config))
	if err != nil {
		return config.Explanation{}, err
	}
	return table.Explain(request), nil
}

func fetchExplanation(ctx context.Context, admin string, request *config.Request) (config.Explanation, error) {
	query := url.Values{"method": {request.Method}, "host": {request.Host}, "path": {request.Path}}
	for _, header := range request.Headers {
		query.Add("header", header.Name+": "+header.Value)
	}
	raw, err := queryAdmin(ctx, admin, "/explain?"+query.Encode())
	if err != nil {
		return config.Explanation{}, err
	}
	var explanation config.Explanation
	if err := json.Unmarshal(raw, &explanation); err != nil {
		return config.Explanation{}, fmt.Errorf("decode the explanation of %s: %w", admin, err)
	}
	return explanation, nil
}

func printExplanation(w io.Writer, e config.Explanation) error {
	if e.Generation == 0 {
		_, err := fmt.Fprintln(w, "no configuration is in force")
		return err
	}
	if e.Service == "" {
		_, err := fmt.Fprintln(w, "no service claims this request")
		return err
	}
	fmt.Fprintf(w, "generation:  %d\nservice:     %s\nlabels:      %s\nidempotent:  %v\nlong:        %v\n",
		e.Generation, e.Service, e.Labels, e.Idempotent, e.Long)
	if e.Route != "" {
		fmt.Fprintf(w, "route:       %s\n", e.Route)
	}
	if len(e.Regions) > 0 {
		fmt.Fprintf(w, "regions:     %s\n", strings.Join(e.Regions, ", "))
	}
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "UPSTREAM\tHOST\tREGION\tFAILURE DOMAIN\tELIGIBLE\tEXCLUDED BY")
	for _, u := range e.Upstreams {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\t%s\n", u.Name, u.Host, u.Region, u.FailureDomain, u.Eligible, exclusionReasons(&u))
	}
	return table.Flush()
}

func exclusionReasons(u *config.ExplainedUpstream) string {
	var reasons []string
	if u.Term != "" {
		reasons = append(reasons, fmt.Sprintf("selector %q, term %q", u.Selector, u.Term))
	}
	if u.State != "" {
		reasons = append(reasons, u.State)
	}
	return strings.Join(reasons, "; ")
}
