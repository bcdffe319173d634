package document

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
)

// Address is a host and a port, such as "10.0.0.1:80". The reducer treats
// addresses as opaque strings, so their form is checked when they are parsed.
type Address string

// UnmarshalJSON parses a quoted address.
func (a *Address) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("must be a string, got %s", truncate(string(raw)))
	}
	host, port, err := net.SplitHostPort(text)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || host == "" || number == 0 {
		return fmt.Errorf("must be ADDRESS:PORT, got %q", truncate(text))
	}
	*a = Address(text)
	return nil
}
