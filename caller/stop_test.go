package caller_test

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
	"wisteriapond/standin"
)

var _ = Describe("a planned stop", func() {
	// Guards against truncating a download in progress, or losing its last
	// bytes, and against responses that do not request callers to close their
	// connection (Connection: close).
	It("lets a download to a slow caller finish", func() {
		s := serve(func(c *standin.RawConn) {
			for request := c.ReadRequest(); request != nil; request = c.ReadRequest() {
				if request.RequestURI == "/a" {
					io.WriteString(c, plainResponse)
					continue
				}
				sendDownload(c)
			}
		})
		sys := startSystem(testService(s.Address()))
		slow, idle, busy := sys.dial(), sys.dial(), sys.dial()
		slow.SetDeadline(time.Now().Add(4 * waitTimeout))
		idle.send(getLines + "\r\n")
		idle.readResponse("GET")
		slow.send("GET /files/proof HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(slow.reader.Peek(1)).Error().NotTo(HaveOccurred())

		sys.loop.Send(core.StopRequested{})
		Eventually(func() bool { return sys.loop.View().Closing }).WithTimeout(waitTimeout).Should(BeTrue())
		busy.send(getLines + "\r\n")
		response, _ := busy.readResponse("GET")
		Expect(response.Close).To(BeTrue())

		offset := skipHeader(slow.reader)
		buffer := make([]byte, 64<<10)
		for offset < standin.DownloadBytes {
			n, err := slow.reader.Read(buffer)
			Expect(err).NotTo(HaveOccurred())
			for i := 0; i < n; i += 4093 {
				Expect(buffer[i]).To(Equal(standin.DownloadByteAt(offset + i)))
			}
			offset += n
			if offset%(1<<20) < n {
				Expect(sys.ended).NotTo(BeClosed())
				time.Sleep(time.Millisecond)
			}
		}
		Eventually(sys.ended).WithTimeout(waitTimeout).Should(BeClosed())
		Expect(idle.reader.ReadByte()).Error().To(MatchError(io.EOF))
		Expect(net.Dial("tcp", sys.address)).Error().To(HaveOccurred())
	})

	// Guards against a stop that waits for idle callers.
	It("does not wait for idle connections", func() {
		sys := startSystem(testService(serve(standin.RespondToEach(plainResponse)).Address()))
		for range 10 {
			c := sys.dial()
			c.send(getLines + "\r\n")
			c.readResponse("GET")
		}
		sys.dial()
		sys.loop.Send(core.StopRequested{})
		Eventually(sys.ended).WithTimeout(waitTimeout).Should(BeClosed())
	})
})

// skipHeader reads the header section of a response. It returns the offset in
// the body, which is 0.
func skipHeader(r *bufio.Reader) int {
	GinkgoHelper()
	for {
		line, err := r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		if line == "\r\n" {
			return 0
		}
	}
}

// downloadBody returns the body of the download. It is generated once, since
// generating it takes longer than sending it.
var downloadBody = sync.OnceValue(func() []byte {
	body := make([]byte, standin.DownloadBytes)
	for i := range body {
		body[i] = standin.DownloadByteAt(i)
	}
	return body
})

func sendDownload(w io.Writer) {
	io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(standin.DownloadBytes)+"\r\n\r\n")
	w.Write(downloadBody())
}
