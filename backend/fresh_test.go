package backend_test

import (
	"io"
	"net/http"
	"testing"

	"wisteriapond/outcome"
	"wisteriapond/standin"
)

// BenchmarkFresh measures an order on a connection of its own beside a lookup
// on a kept-alive one. Run it with a fixed count, such as -benchtime 5000x:
// every order uses up a port of the loopback interface for a while.
func BenchmarkFresh(b *testing.B) {
	s, err := standin.StartRawServer(answerOrders)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	for _, fresh := range []bool{false, true} {
		name := map[bool]string{false: "kept-alive", true: "fresh"}[fresh]
		b.Run(name, func(b *testing.B) {
			bench := newBench()
			request := post("urn")
			b.ReportAllocs()
			for range b.N {
				command := bench.command(s.Address())
				if fresh {
					command.MaxIdle = 0
				}
				if x := bench.run(command, request); x.Facts.Cause != outcome.CauseNone {
					b.Fatal(x.Facts)
				}
			}
		})
	}
}

func answerOrders(c *standin.RawConn) {
	for {
		request, err := http.ReadRequest(c.Reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nurns")
	}
}
