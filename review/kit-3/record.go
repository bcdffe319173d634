package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	// events holds the texts of all lines.
	events []string
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("open the record: %w", err)
	}
	return &record{startedAt: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event := fmt.Sprintf(format, args...)
	r.events = append(r.events, event)
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), event)
}

// has reports whether a line ends with the given text.
func (r *record) has(end string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.events, func(event string) bool { return strings.HasSuffix(event, end) })
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return fmt.Errorf("write the record: %w", err)
	}
	return r.file.Close()
}
