package cli_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/cli"
	"wisteriapond/testsuite"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "cli")
}

// run returns the exit status and both outputs of a command.
func run(args ...string) (status int, stdout, stderr string) {
	var out, err bytes.Buffer
	status = cli.Run(args, &out, &err)
	return status, out.String(), err.String()
}
