package caller

import (
	"bufio"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

var _ = Describe("the scanner of heads", func() {
	// Guards against a head whose end is seen at another place than fasthttp sees it
	// (request smuggling): what is taken for the next request could be a part of a body.
	It("finds the end and the length where fasthttp does, or leaves the head to it", func() {
		lines := []string{
			"Host: h\r\n", "X: y\r\n", " folded\r\n", "\tfolded\r\n", "Content-Length: 0\r\n", "Content-Length: 7\r\n", "content-length:7\r\n",
			"Content-Length : 7\r\n", "Content-Length: 7, 7\r\n", "Content-Length: +7\r\n", "Content-Length:\r\n", "Transfer-Encoding: chunked\r\n",
			"X: bare\n", "X: a\rb\r\n", "X: a\r\r\n", "\r\n", "\n", "\r\r\n", "X\r\n", ":\r\n",
			"X: " + strings.Repeat("x", 100) + "\r\n", "Content-Length: " + strings.Repeat("0", 100) + "7\r\n",
		}
		requestLines := []string{"GET / HTTP/1.1\r\n", "HEAD / HTTP/1.1\r\n", "POST / HTTP/1.1\r\n", "GET / HTTP/1.1\n", "\r\nGET / HTTP/1.1\r\n"}
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var raw strings.Builder
			raw.WriteString(rapid.SampledFrom(requestLines).Draw(t, "request line"))
			for _, line := range rapid.SliceOfN(rapid.SampledFrom(lines), 0, 6).Draw(t, "lines") {
				raw.WriteString(line)
			}
			raw.WriteString("\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n")

			var scanner headScanner
			rest, size, done := raw.String(), 0, false
			for len(rest) > 0 && !done {
				piece := rest[:rapid.IntRange(1, len(rest)).Draw(t, "piece")]
				var n int
				n, done = scanner.scan([]byte(piece))
				size += n
				rest = rest[n:]
			}
			if !done {
				return
			}
			var h fasthttp.RequestHeader
			reader := bufio.NewReaderSize(strings.NewReader(raw.String()), 4096)
			if h.Read(reader) != nil {
				// The connection ends with the error response.
				return
			}
			if read := raw.Len() - reader.Buffered(); read != size {
				t.Fatalf("the head of %q has %d bytes, the scanner saw %d", raw.String(), read, size)
			}
			if length := int64(max(0, h.ContentLength())); length != scanner.bodyBytes {
				t.Fatalf("the body of %q has %d bytes, the scanner saw %d", raw.String(), length, scanner.bodyBytes)
			}
		})
	})

	// Guards against a scanner that leaves ordinary requests to fasthttp.
	It("understands ordinary heads", func() {
		for _, raw := range []string{"GET / HTTP/1.1\r\nHost: h\r\nAccept: */*\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\n"} {
			var scanner headScanner
			n, done := scanner.scan([]byte(raw + "rest"))
			Expect(done).To(BeTrue())
			Expect(n).To(Equal(len(raw)))
		}
	})
})
