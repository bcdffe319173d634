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

// maxLogLineBytes bounds the length of a line of a log file.
const maxLogLineBytes = 1 << 20

type traceCommand struct {
	Request string   `arg:"" help:"Identifier of the request, as sent by its caller."`
	Files   []string `arg:"" type:"existingfile" help:"Log files of entry hosts."`
}

// Help is shown by "trace --help".
func (*traceCommand) Help() string {
	return `Prints the log entries of one request, and those about the backend servers of
its attempts, from the logs of several entry hosts, sorted by time. Other text
in the files is ignored. docs/OPERATIONS.md shows how to read the entries.

Example:
  wisteriapond trace 9c41d07be2a35f68 entry-1.log entry-2.log`
}

// logEntry holds the parts of a log entry that a trace shows.
type logEntry struct {
	Time    time.Time         `json:"timestamp"`
	Level   string            `json:"level"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields"`
}

// Run prints the log entries of a request.
func (c *traceCommand) Run(stdout io.Writer) error {
	var entries []logEntry
	for _, file := range c.Files {
		found, err := readLogEntries(file)
		if err != nil {
			return fmt.Errorf("read %s: %w", file, err)
		}
		entries = append(entries, found...)
	}
	slices.SortStableFunc(entries, func(a, b logEntry) int { return a.Time.Compare(b.Time) })
	matching := entriesOf(entries, c.Request)
	if len(matching) == 0 {
		return &usageError{reason: fmt.Sprintf("no log entry names request %q: it was served in time, or its entry was left out (request_lines_left_out_total)", c.Request)}
	}
	for _, entry := range addServerEntries(entries, matching) {
		entry.print(stdout)
	}
	return nil
}

// readLogEntries returns the log entries in a file and skips all other lines.
func readLogEntries(file string) ([]logEntry, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var entries []logEntry
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		// A log collector may have prepended text to the entry.
		text := scanner.Bytes()
		start := slices.Index(text, '{')
		var entry logEntry
		if start >= 0 && json.Unmarshal(text[start:], &entry) == nil {
			entries = append(entries, entry)
		}
	}
	return entries, scanner.Err()
}

// entriesOf returns the entries of a request.
func entriesOf(entries []logEntry, request string) []logEntry {
	var matching []logEntry
	for _, entry := range entries {
		if entry.Fields["request"] == request {
			matching = append(matching, entry)
		}
	}
	return matching
}

// addServerEntries adds the entries of the same hosts about the backend servers of
// the attempts, up to the time of the last entry of the request.
func addServerEntries(entries, matching []logEntry) []logEntry {
	last := matching[len(matching)-1].Time
	relevant := make(map[string]bool)
	for _, entry := range matching {
		for attempt := range strings.SplitSeq(entry.Fields["attempts"], "; ") {
			name, _, _ := strings.Cut(attempt, " at ")
			relevant[entry.Fields["host"]+"/"+name] = name != ""
		}
	}
	found := slices.Clone(matching)
	for _, entry := range entries {
		if relevant[entry.Fields["host"]+"/"+entry.Fields["server"]] && !entry.Time.After(last) {
			found = append(found, entry)
		}
	}
	slices.SortStableFunc(found, func(a, b logEntry) int { return a.Time.Compare(b.Time) })
	return found
}

// print writes the entry in readable form: the fields sorted by name, then one
// line for each attempt.
func (e *logEntry) print(w io.Writer) {
	fmt.Fprintf(w, "%s %-5s %s: %s\n", e.Time.UTC().Format("15:04:05.000"), e.Level, e.Fields["host"], e.Message)
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		if name != "host" && name != "attempts" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	for _, name := range names {
		fmt.Fprintf(w, "    %s: %s\n", name, e.Fields[name])
	}
	if attempts := e.Fields["attempts"]; attempts != "" {
		for attempt := range strings.SplitSeq(attempts, "; ") {
			fmt.Fprintf(w, "    attempt: %s\n", attempt)
		}
	}
}
