package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The form in which the stand-in refuses a request as not run.
const (
	NotRunStatus = http.StatusServiceUnavailable
	NotRunHeader = "X-Not-Run"
	NotRunValue  = "1"
)

// DownloadBytes is the size of the long answer at /files/.
const DownloadBytes = 64 << 20

// Backend stands in for a backend server with a fixed number of slots. It
// refuses requests beyond its slots as not run. It is an http.Handler.
type Backend struct {
	Name  string
	Slots int
	// Delay is the time that a short request takes.
	Delay time.Duration

	running atomic.Int64
	peak    atomic.Int64
	mu      sync.Mutex
	runs    map[string]int
}

// NewBackend returns a backend server.
func NewBackend(name string, slots int, delay time.Duration) *Backend {
	return &Backend{Name: name, Slots: slots, Delay: delay, runs: make(map[string]int)}
}

// ServeHTTP runs a request: paths under /files/ answer with DownloadBytes
// bytes, all others with a line that names the server.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running := b.running.Add(1)
	defer b.running.Add(-1)
	if running > int64(b.Slots) {
		w.Header().Set(NotRunHeader, NotRunValue)
		http.Error(w, "all slots are taken", NotRunStatus)
		return
	}
	b.notePeak(running)
	b.noteRun(r.Header.Get("X-Request"))
	w.Header().Set("Wisteriapond-Load", strconv.FormatInt(running, 10))
	if len(r.URL.Path) >= 7 && r.URL.Path[:7] == "/files/" {
		b.serveDownload(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(b.Delay)
	fmt.Fprintf(w, "%s %s %s %d bytes\n", b.Name, r.Method, r.URL.Path, len(body))
}

// Runs returns how often the request with the given X-Request header ran.
func (b *Backend) Runs(request string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[request]
}

// Peak returns the largest number of requests that ran at once.
func (b *Backend) Peak() int { return int(b.peak.Load()) }

// DownloadByte returns the byte of the long answer at an offset.
func DownloadByte(offset int) byte {
	return byte(offset * 31 >> 3)
}

func (b *Backend) notePeak(running int64) {
	for {
		peak := b.peak.Load()
		if running <= peak || b.peak.CompareAndSwap(peak, running) {
			return
		}
	}
}

func (b *Backend) noteRun(request string) {
	if request == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[request]++
}

func (b *Backend) serveDownload(w http.ResponseWriter) {
	w.Header().Set("Content-Length", strconv.Itoa(DownloadBytes))
	chunk := make([]byte, 64<<10)
	for sent := 0; sent < DownloadBytes; sent += len(chunk) {
		for i := range chunk {
			chunk[i] = DownloadByte(sent + i)
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}
