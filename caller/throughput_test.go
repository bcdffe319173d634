package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"wisteriapond/standin"
)

// BenchmarkCall measures the cost of lookups at full load: 6 callers per core
// on kept-alive connections, against a backend server that only responds.
func BenchmarkCall(b *testing.B) {
	address := listen(b, func(c *standin.RawConn) {
		for {
			if _, err := http.ReadRequest(c.Reader); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nurns")
		}
	})
	s := testServer(b, address)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve(l)
	defer l.Close()
	b.SetParallelism(6)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) { callAll(b, pb, l.Addr().String()) })
}

func callAll(b *testing.B, pb *testing.PB, address string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Error(err)
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for pb.Next() {
		io.WriteString(c, "GET /catalogue/urn-7 HTTP/1.1\r\nHost: h\r\n\r\n")
		statusLine, body := readResponse(r)
		if !strings.HasPrefix(statusLine, "HTTP/1.1 200") || body != "urns" {
			b.Errorf("got response %q with body %q, want status 200 and body \"urns\"", statusLine, body)
			return
		}
	}
}

// readResponse reads a response with a body of four bytes. It costs less than
// http.ReadResponse, which raises the measured share of the entry host.
func readResponse(r *bufio.Reader) (statusLine, body string) {
	statusLine, _ = r.ReadString('\n')
	for {
		line, err := r.ReadSlice('\n')
		if err != nil || len(line) == 2 {
			break
		}
	}
	buffer := make([]byte, 4)
	io.ReadFull(r, buffer)
	return statusLine, string(buffer)
}
