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
	// Guards against cutting a download, or the last bytes of one, and against
	// new callers that are not told to go elsewhere.
	It("lets a download to a slow reader run to its end", func() {
		s := serve(func(c *standin.RawConn) {
			for request := c.ReadRequest(); request != nil; request = c.ReadRequest() {
				if request.RequestURI == "/a" {
					io.WriteString(c, plain)
					continue
				}
				sendDownload(c)
			}
		})
		sys := start(service(s.Address()))
		slow, idle, busy := sys.dial(), sys.dial(), sys.dial()
		slow.SetDeadline(time.Now().Add(4 * patience))
		idle.send(lead + "\r\n")
		idle.answer("GET")
		slow.send("GET /files/proof HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(slow.reader.Peek(1)).Error().NotTo(HaveOccurred())

		sys.loop.Send(core.StopRequested{})
		Eventually(func() bool { return sys.loop.View().Closing }).WithTimeout(patience).Should(BeTrue())
		busy.send(lead + "\r\n")
		response, _ := busy.answer("GET")
		Expect(response.Close).To(BeTrue())

		offset := skipHead(slow.reader)
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
		Eventually(sys.ended).WithTimeout(patience).Should(BeClosed())
		Expect(idle.reader.ReadByte()).Error().To(MatchError(io.EOF))
		Expect(net.Dial("tcp", sys.address)).Error().To(HaveOccurred())
	})

	// Guards against an exit that waits for callers that ask nothing.
	It("does not wait for idle connections", func() {
		sys := start(service(serve(standin.RespondToEach(plain)).Address()))
		for range 10 {
			c := sys.dial()
			c.send(lead + "\r\n")
			c.answer("GET")
		}
		sys.dial()
		sys.loop.Send(core.StopRequested{})
		Eventually(sys.ended).WithTimeout(patience).Should(BeClosed())
	})
})

// skipHead reads the head of an answer and returns the offset in its body.
func skipHead(r *bufio.Reader) int {
	GinkgoHelper()
	for {
		line, err := r.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		if line == "\r\n" {
			return 0
		}
	}
}

// download is the long answer, made once: making it takes longer than sending.
var download = sync.OnceValue(func() []byte {
	body := make([]byte, standin.DownloadBytes)
	for i := range body {
		body[i] = standin.DownloadByteAt(i)
	}
	return body
})

func sendDownload(w io.Writer) {
	io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(standin.DownloadBytes)+"\r\n\r\n")
	w.Write(download())
}
