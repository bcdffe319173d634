package backend_test

import (
	"io"
	"net/http"
	"testing"

	"wisteriapond/outcome"
	"wisteriapond/standin"
)

// BenchmarkNewConnection compares an order on a new connection with a lookup on
// a kept-alive one. Run it with a fixed count, such as -benchtime 5000x: every
// order occupies a port of the loopback interface for a while.
func BenchmarkNewConnection(b *testing.B) {
	s, err := standin.StartRawServer(respondToOrders)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	for _, newConnection := range []bool{false, true} {
		name := map[bool]string{false: "kept-alive", true: "new"}[newConnection]
		b.Run(name, func(b *testing.B) {
			f := newFixture()
			request := post("urn")
			b.ReportAllocs()
			for range b.N {
				command := f.command(s.Address())
				if newConnection {
					command.MaxIdle = 0
				}
				if x := f.run(command, request); x.Facts.Cause != outcome.CauseNone {
					b.Fatal(x.Facts)
				}
			}
		})
	}
}

func respondToOrders(c *standin.RawConn) {
	for {
		request, err := http.ReadRequest(c.Reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nurns")
	}
}
