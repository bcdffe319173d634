// Package kit holds the stand-ins for the cases of the review: the platform's
// store, upstreams, clients, and entry hosts as processes. The names of the
// platform's protocol are read from names.json.
package kit

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

//go:embed names.json
var namesFile []byte

// names holds the names of the platform's protocol.
var names = readNames()

type protocolNames struct {
	Attempt, Remaining, Target, NotRun, Signature, Instance, Load, Leaving string
	RangePath, WatchPath, Revision, More, Wait, Stale                      string
	ConfigurationKey, ServerPrefix, WarmUp                                 string
	RouteColumns, ServiceColumns                                           []string
	Limits                                                                 map[string]int
	Idempotent, AtMostOnce                                                 string
}

func readNames() (n protocolNames) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the record of one run of a case.
type Record struct {
	mu    sync.Mutex
	file  io.Writer
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Trouble reports whether the disruption of the case is to be caused.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and exits with its status. A case that returns an error could
// not run.
func Main(run func(dir string, record *Record) (broken bool, err error)) {
	os.Exit(status(run))
}

func status(run func(dir string, record *Record) (broken bool, err error)) int {
	if len(os.Args) != 2 {
		fmt.Println("usage: case FOLDER")
		return NotRun
	}
	record, err := NewRecord(os.Args[1] + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	defer os.RemoveAll(dir)
	broken, err := run(dir, record)
	switch {
	case err != nil:
		record.Say("could not run: %v", err)
		return NotRun
	case broken:
		record.Say("result: the rule was broken")
		return Broken
	}
	record.Say("result: the rule held")
	return Held
}
