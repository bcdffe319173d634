package cli_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/cli"
)

// Guards against exit statuses from which a script cannot distinguish refused
// input, success and failure.
var _ = DescribeTable("exit statuses",
	func(want int, message string, args ...string) {
		status, stdout, stderr := run(args...)
		Expect(status).To(Equal(want))
		Expect(stdout + stderr).To(ContainSubstring(message))
	},
	Entry("the version", 0, cli.Version, "version"),
	Entry("an unknown command", 2, "unexpected argument", "sevre"),
	Entry("a missing flag", 2, "--settings", "serve"),
	Entry("refused settings", 2, "no such file", "serve", "--settings", "missing.json"),
	Entry("a refused configuration", 2, "no such file", "explain", "--config", "../docs", "/"),
	Entry("a header without a value", 2, "must be NAME:VALUE", "explain", "--config", "../examples/boisclair", "-H", "X-Team", "/"),
	Entry("a target outside loopback", 2, "--allow-remote", "load", "http://192.0.2.1/"),
	Entry("a target with a host name, which may resolve to any address", 2, "--allow-remote", "load", "http://example.net/"),
	Entry("a number of requests above the limit", 2, "requests: must be between", "load", "--requests", "2000000", "http://127.0.0.1:1/"),
	Entry("a host that does not respond", 1, "connection refused", "status", "127.0.0.1:1"),
)
