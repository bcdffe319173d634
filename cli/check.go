package cli

import (
	"fmt"
	"io"
	"os"

	"wisteriapond/config"
	"wisteriapond/document"
	"wisteriapond/settings"
)

type checkCommand struct {
	Paths []string `arg:"" name:"path" help:"Files, or directories with manifest.json and services/*.json."`
}

// Help is shown by "check --help".
func (*checkCommand) Help() string {
	return `The kind of a file is detected from its content. A directory is checked as a
complete configuration: every document, the hashes in the manifest, and matches
that two services claim. A running process applies the same rules and reports
the same texts.
Problems are printed as "file:line: field: reason"; the exit status is 2.

Examples:
  wisteriapond check examples/boisclair
  wisteriapond check settings.json services/orders.json`
}

// Run checks every path and returns all problems together.
func (c *checkCommand) Run(stdout io.Writer) error {
	var problems []config.Problem
	for _, path := range c.Paths {
		summary, err := checkPath(path)
		if err != nil {
			problems = append(problems, problemsIn(path, err)...)
			continue
		}
		fmt.Fprintf(stdout, "%s: ok: %s\n", path, summary)
	}
	if len(problems) > 0 {
		return &document.Error{Problems: problems}
	}
	return nil
}

// problemsIn returns the problems of a refused document, or any other error as a
// problem of path.
func problemsIn(path string, err error) []config.Problem {
	if documentErr, ok := err.(*document.Error); ok {
		return documentErr.Problems
	}
	return []config.Problem{{Document: path, Reason: err.Error()}}
}

func checkPath(path string) (summary string, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.IsDir() {
		table, err := document.LoadDirectory(os.DirFS(path))
		if err != nil {
			return "", err
		}
		return summarizeTable(table), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return checkFile(path, raw)
}

func summarizeTable(table *config.Table) string {
	upstreams := 0
	for _, service := range table.Services() {
		upstreams += len(service.Upstreams)
	}
	return fmt.Sprintf("generation %d, %d services, %d upstreams",
		table.Version.Generation, len(table.Services()), upstreams)
}

func checkFile(file string, raw []byte) (summary string, err error) {
	kind, err := document.DetectKind(file, raw)
	if err != nil {
		return "", err
	}
	switch kind {
	case document.KindManifest:
		_, manifest, err := document.ParseManifest(file, raw)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("manifest, generation %d", manifest.Generation), nil
	case document.KindServicePart:
		service, err := document.ParseService(file, raw)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("service part %s, hash %s", service.Name, document.HashOf(raw)), nil
	case document.KindHostList:
		hosts, err := document.ParseHostList(file, raw)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("host list, %d hosts", len(hosts)), nil
	}
	s, err := settings.Parse(file, raw)
	if err != nil {
		return "", err
	}
	return "settings of entry host " + s.Host, nil
}
