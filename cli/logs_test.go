package cli

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// slowReader takes no line until it is opened.
type slowReader struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (r *slowReader) Write(p []byte) (int, error) {
	<-r.open
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(p)
}

func (r *slowReader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.String()
}

var _ = Describe("log lines", func() {
	// Guards against a process that stands still, or grows, since nobody reads
	// its output.
	It("wait for no reader, and tell how many were dropped", func() {
		reader := &slowReader{open: make(chan struct{})}
		q := newLineQueue(reader)
		for range 4 * maxLogLines {
			io.WriteString(q, "line\n")
		}
		Expect(len(q.lines)).To(BeNumerically("<=", maxLogLines))
		close(reader.open)
		q.Close()
		Expect(strings.Count(reader.text(), "line\n")).To(BeNumerically("<=", maxLogLines+1))
		Expect(reader.text()).To(ContainSubstring(`"message":"log lines were dropped"`))
	})

	// Guards against an end that waits for a reader that is gone.
	It("hold up no end", func() {
		q := newLineQueue(&slowReader{open: make(chan struct{})})
		io.WriteString(q, "line\n")
		begun := time.Now()
		q.Close()
		Expect(time.Since(begun)).To(BeNumerically("<", 20*logFlushTime))
	})
})
