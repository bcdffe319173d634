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

// blockedOutput blocks all writes until unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

func (o *blockedOutput) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

var _ = Describe("the log queue", func() {
	// Guards against a process that blocks, or whose memory grows, because nobody
	// reads its output.
	It("does not block on its output, and reports dropped entries", func() {
		output := &blockedOutput{unblock: make(chan struct{})}
		q := newLogQueue(output)
		for range 4 * maxQueuedEntries {
			io.WriteString(q, "line\n")
		}
		Expect(len(q.entries)).To(BeNumerically("<=", maxQueuedEntries))
		close(output.unblock)
		q.Close()
		Expect(strings.Count(output.text(), "line\n")).To(BeNumerically("<=", maxQueuedEntries+1))
		Expect(output.text()).To(ContainSubstring(`"message":"log lines were dropped"`))
	})

	// Guards against a process that does not exit because nobody reads its output.
	It("does not wait for a blocked output at the end", func() {
		q := newLogQueue(&blockedOutput{unblock: make(chan struct{})})
		io.WriteString(q, "line\n")
		started := time.Now()
		q.Close()
		Expect(time.Since(started)).To(BeNumerically("<", 20*logFlushTimeout))
	})
})
