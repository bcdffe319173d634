package cli

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// maxTraceLine bounds a log line that is read.
const maxTraceLine = 1 << 20

type traceCommand struct {
	Request string   `arg:"" help:"Name of a request, as its caller gave it."`
	Files   []string `arg:"" type:"existingfile" help:"Log files of entry hosts."`
}

// Help is shown by "trace --help".
func (*traceCommand) Help() string {
	return `Prints the log lines of one request and of its attempts' backend servers from
the logs of several entry hosts, in the order of time. Other text in the files
is left out. docs/OPERATIONS.md shows how to read them.

Example:
  wisteriapond trace 9c41d07be2a35f68 entry-1.log entry-2.log`
}

// traceLine is a log line as far as a trace needs it.
type traceLine struct {
	Time    time.Time         `json:"timestamp"`
	Level   string            `json:"level"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
}

// Run prints the lines of a request.
func (c *traceCommand) Run(stdout io.Writer) error {
	var lines []traceLine
	for _, file := range c.Files {
		found, err := readTrace(file)
		if err != nil {
			return fmt.Errorf("read %s: %w", file, err)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.Time.Compare(b.Time) })
	named := linesOf(lines, c.Request)
	if len(named) == 0 {
		return &usageError{reason: fmt.Sprintf("no log line names request %q: it was served in time, or its line was left out (request_lines_left_out_total)", c.Request)}
	}
	for _, line := range withServers(lines, named) {
		line.print(stdout)
	}
	return nil
}

func readTrace(file string) ([]traceLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var lines []traceLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxTraceLine)
	for scanner.Scan() {
		// What a collector puts before a line is left out.
		text := scanner.Bytes()
		begin := slices.Index(text, '{')
		var line traceLine
		if begin >= 0 && json.Unmarshal(text[begin:], &line) == nil {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func linesOf(lines []traceLine, request string) []traceLine {
	var named []traceLine
	for _, line := range lines {
		if line.Fields["request"] == request {
			named = append(named, line)
		}
	}
	return named
}

// withServers adds what the same hosts noted of the backend servers that the
// attempts went to, up to the last line of the request.
func withServers(lines, named []traceLine) []traceLine {
	last := named[len(named)-1].Time
	wanted := make(map[string]bool)
	for _, line := range named {
		for attempt := range strings.SplitSeq(line.Fields["attempts"], "; ") {
			name, _, _ := strings.Cut(attempt, " at ")
			wanted[line.Fields["host"]+"/"+name] = name != ""
		}
	}
	found := slices.Clone(named)
	for _, line := range lines {
		if wanted[line.Fields["host"]+"/"+line.Fields["server"]] && !line.Time.After(last) {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b traceLine) int { return a.Time.Compare(b.Time) })
	return found
}

// print writes a line for people: the attempts one a line, the rest in the
// order of names.
func (l *traceLine) print(w io.Writer) {
	fmt.Fprintf(w, "%s %-5s %s: %s\n", l.Time.UTC().Format("15:04:05.000"), l.Level, l.Fields["host"], l.Message)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "host" && name != "attempts" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	for _, name := range names {
		fmt.Fprintf(w, "    %s: %s\n", name, l.Fields[name])
	}
	if attempts := l.Fields["attempts"]; attempts != "" {
		for attempt := range strings.SplitSeq(attempts, "; ") {
			fmt.Fprintf(w, "    attempt: %s\n", attempt)
		}
	}
}
