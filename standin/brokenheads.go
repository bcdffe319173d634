package standin

import "fmt"

// BrokenHeads returns responses of status 200 with the given body whose header sections
// are broken in one place each.
func BrokenHeads(body string) []string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	var responses []string
	for _, line := range []string{
		"X Field: 1\r\n", "X-Field : 1\r\n", "X-Field\t: 1\r\n", "X-\x00Field: 1\r\n", "\x01X-Field: 1\r\n", "X-Field\x7f: 1\r\n",
		"X-Before: 1\r\n X-Field: 1\r\n", "X-Before: 1\r\n\tX-Field: 1\r\n", "X-Before: 1\nX-Field: 1\r\n", "\nX-Field: 1\r\n",
		"X-Field: \x01\r\n", ": 1\r\n", "X-Field\r\n",
	} {
		responses = append(responses,
			"HTTP/1.1 200 OK\r\n"+line+length+"\r\n"+body,
			"HTTP/1.1 200 OK\r\n"+length+line+"\r\n"+body,
			"HTTP/1.1 100 Continue\r\n"+line+"\r\nHTTP/1.1 200 OK\r\n"+length+"\r\n"+body,
		)
	}
	for _, statusLine := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2 0 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x00K", "HTTP/2.0 200 OK",
	} {
		responses = append(responses, statusLine+"\r\n"+length+"\r\n"+body)
	}
	return append(responses,
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s", len(body), body),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	)
}
