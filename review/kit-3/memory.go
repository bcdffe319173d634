package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	megabyte = 1 << 20
	// memoryInterval is the time between two looks of the platform at the memory of a
	// process.
	memoryInterval = 100 * time.Millisecond
)

// usage is the memory that the platform counts for a process.
type usage struct {
	resident, unread int
}

func (u usage) total() int { return u.resident + u.unread }

func (u usage) String() string {
	return fmt.Sprintf("%d MiB: %d MiB resident, %d MiB received and not yet read", u.total()/megabyte, u.resident/megabyte, u.unread/megabyte)
}

// enforceMemory kills the process of a host that exceeds its memory, as the platform does.
// It returns the peak once the process has ended or stop is closed.
func (d *deployment) enforceMemory(h *host, stop <-chan struct{}) (peak usage, killed bool) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return peak, killed
		case <-h.ended:
			return peak, killed
		case <-ticker.C:
		}
		now := memoryOf(h.process.Process.Pid)
		if now.total() > peak.total() {
			peak = now
		}
		if now.total() > d.limits.megabytes*megabyte && !killed {
			killed = true
			d.record.add("the platform kills %s, which exceeds %d MiB with %v", h.name, d.limits.megabytes, now)
			h.process.Process.Kill()
		}
	}
}

// memoryOf returns the memory of a process. Bytes that were received and not yet read
// count as well.
func memoryOf(pid int) usage {
	return usage{resident: residentBytes(pid), unread: unreadBytes(pid)}
}

func residentBytes(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// Columns of /proc/net/tcp.
const (
	columnState  = 3
	columnQueues = 4
	columnInode  = 9
)

func unreadBytes(pid int) int {
	sockets := socketsOf(pid)
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0
	}
	total := 0
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		// 0A is the state of a listener, whose queue holds connections.
		if len(fields) <= columnInode || !sockets[fields[columnInode]] || fields[columnState] == "0A" {
			continue
		}
		_, unread, _ := strings.Cut(fields[columnQueues], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		total += int(n)
	}
	return total
}

// socketsOf returns the inodes of the sockets of a process.
func socketsOf(pid int) map[string]bool {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	inodes := make(map[string]bool)
	for _, link := range links {
		target, _ := os.Readlink(link)
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}
