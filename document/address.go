package document

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
)

// Address is a host and a port, such as "10.0.0.1:80". The reducer takes
// addresses as opaque names, so their form is checked where they are read.
type Address string

// UnmarshalJSON reads a quoted address.
func (a *Address) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("must be a string, got %s", shorten(string(raw)))
	}
	host, port, err := net.SplitHostPort(text)
	number, badPort := strconv.ParseUint(port, 10, 16)
	if err != nil || badPort != nil || host == "" || number == 0 {
		return fmt.Errorf("must be ADDRESS:PORT, got %q", shorten(text))
	}
	*a = Address(text)
	return nil
}
