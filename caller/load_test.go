package caller_test

import (
	"io"
	"net/http"
	goruntime "runtime"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/standin"
)

var _ = Describe("many callers", func() {
	// Guards against head-of-line blocking: downloads whose callers do not read
	// must not delay lookups.
	It("are not delayed by those that read slowly", func() {
		s := serve(func(c *standin.RawConn) {
			for request := c.ReadRequest(); request != nil; request = c.ReadRequest() {
				if strings.HasPrefix(request.RequestURI, "/files/") {
					sendDownload(c)
					continue
				}
				io.WriteString(c, plainResponse)
			}
		})
		config := testService(s.Address())
		for i := range config.Upstreams {
			config.Upstreams[i].Slots = 64
		}
		sys := startSystem(config)
		for range 10 {
			slow := sys.dial()
			slow.send("GET /files/proof HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(slow.reader.Peek(1)).Error().NotTo(HaveOccurred())
		}
		c := sys.dial()
		for range 200 {
			c.send(getLines + "\r\n")
			_, body := c.readResponse("GET")
			Expect(body).To(Equal("urns"))
		}
		Expect(sys.loop.OpenRequests()).To(BeNumerically(">=", 10))
	})

	// Guards against leaked goroutines and requests, however the requests end.
	It("leak no goroutines or requests", func() {
		s := serve(func(c *standin.RawConn) {
			for {
				request, err := http.ReadRequest(c.Reader)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					return
				}
				switch request.RequestURI {
				case "/broken":
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nurns")
					return
				case "/reset":
					return
				case "/silent":
					c.Reader.ReadByte()
					return
				case "/long":
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"+longBody)
					return
				}
				io.WriteString(c, plainResponse)
			}
		})
		config := testService(s.Address())
		for i := range config.Upstreams {
			config.Upstreams[i].Slots = 64
		}
		sys := startSystem(config)
		for _, target := range []string{"/", "/broken", "/reset", "/silent", "/long"} {
			for i := range 8 {
				c := sys.dial()
				body := strings.Repeat("urns", 1+i%2*50000)
				go io.WriteString(c, "POST "+target+" HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
				if target != "/silent" {
					c.reader.ReadByte()
				} else {
					time.Sleep(time.Millisecond)
				}
				c.Close()
			}
		}
		Eventually(sys.loop.OpenRequests).WithTimeout(waitTimeout).Should(BeZero())
		Eventually(requestGoroutines).WithTimeout(waitTimeout).Should(BeEmpty())
	})
})

// requestGoroutines returns the names of request functions that still occur in
// a goroutine stack.
func requestGoroutines() (names []string) {
	dump := stacks()
	for _, name := range []string{"caller.(*call)", "caller.(*conn).readAhead", "backend.(*Exchange)", "backend.sendStream", "backend.(*Body)"} {
		if strings.Contains(dump, name) {
			names = append(names, name)
		}
	}
	return names
}

func stacks() string {
	buffer := make([]byte, 4<<20)
	return string(buffer[:goruntime.Stack(buffer, true)])
}
