package httphead_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/httphead"
	"wisteriapond/standin"
	"wisteriapond/testsuite"
)

func TestHTTPHead(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "httphead")
}

// dial opens a checked connection to a server that handles it with f.
func dial(f func(c *standin.RawConn)) net.Conn {
	GinkgoHelper()
	s, err := standin.StartRawServer(f)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	c, err := httphead.Checked((&net.Dialer{}).DialContext)(context.Background(), "tcp", s.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

var _ = Describe("a checked connection", func() {
	// Guards against bytes of a response that are lost, repeated or taken for a header
	// section, however they arrive and are read.
	It("passes on whole responses as they are", func() {
		whole := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\nHTTP/1.1 000 X\r\n : \r\n\n"
		for _, readBytes := range []int{1, 7, 4096} {
			for _, pause := range []time.Duration{0, 100 * time.Microsecond} {
				c := dial(func(c *standin.RawConn) {
					for c.ReadRequest() != nil {
						for i := range len(whole) {
							io.WriteString(c, whole[i:i+1])
							time.Sleep(pause)
						}
					}
				})
				for range 2 {
					io.WriteString(c, request)
					var received strings.Builder
					for received.Len() < len(whole) {
						buffer := make([]byte, readBytes)
						n, err := c.Read(buffer)
						Expect(err).NotTo(HaveOccurred())
						received.Write(buffer[:n])
					}
					Expect(received.String()).To(Equal(whole))
				}
			}
		}
	})

	// Guards against a check that is passed by since the read began before the request.
	It("checks a response that a read already waits for", func() {
		c := dial(standin.RespondToEach("HTTP/1.1 000 OK\r\n\r\n"))
		ended := make(chan error, 1)
		go func() {
			_, err := c.Read(make([]byte, 10))
			ended <- err
		}()
		time.Sleep(20 * time.Millisecond)
		io.WriteString(c, request)
		var invalid *httphead.Error
		Expect(errors.As(<-ended, &invalid)).To(BeTrue())
	})

	// Guards against header sections that a library repairs.
	It("ends where a header section is broken, or where it ends early", func() {
		for _, raw := range append(standin.BrokenHeads("urns"), "HTTP/1.1 200 OK\r\nX", "HTTP/1.1 200 OK\r\n"+strings.Repeat("X: y\r\n", 10<<10)) {
			c := dial(standin.RespondOnce(raw))
			io.WriteString(c, request)
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).To(HaveOccurred(), "%.200q", raw)
		}
	})
})

// Guards against a check that reads beyond a section, loops, or accepts what the other
// parser rejects, and against a length that is not that of the section.
func FuzzCheck(f *testing.F) {
	for _, seed := range append(standin.BrokenHeads("urns"), "HTTP/1.1 200 OK\r\nA: b\r\n\r\nrest", "\r\n\nHTTP/1.0 404\r\n\r\n", "") {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		r := bufio.NewReader(strings.NewReader(raw))
		section, err := httphead.Check(r)
		if err != nil {
			return
		}
		if section.Status < 100 || section.Status > 599 || section.Length > len(raw) || !strings.HasSuffix(raw[:section.Length], "\r\n") {
			t.Fatalf("Check(%q) = %+v", raw, section)
		}
		if rest, _ := io.ReadAll(r); string(rest) != raw {
			t.Fatalf("Check(%q) leaves %q", raw, rest)
		}
	})
}
