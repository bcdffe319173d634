package cli

import (
	"fmt"
	"io"
)

// Version is the version of the binary.
const Version = "0.1.0"

type versionCommand struct{}

// Run prints the version.
func (*versionCommand) Run(stdout io.Writer) error {
	_, err := fmt.Fprintln(stdout, "wisteriapond", Version)
	return err
}
