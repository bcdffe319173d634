package settings_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/document"
	"wisteriapond/settings"
)

func parse(fields string) (*settings.Settings, error) {
	return settings.Parse("test", []byte(`{
		"host": "entry-1", "region": "mtl", "failure_domain": "mtl-a",
		"listen": "127.0.0.1:0", "platform": "http://127.0.0.1:1", `+fields+`}`))
}

const keys = `"keys": {"ca": "ca.pem", "certificate": "host.pem", "key": "host.key"},`

var _ = Describe("settings for peers", func() {
	// Guards against a process that is meant to have peers but silently runs
	// without them.
	DescribeTable("are checked", func(fields, problem string) {
		_, err := parse(fields)
		if problem == "" {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(ContainSubstring(problem)))
	},
		Entry("no peers", ``, ""),
		Entry("complete settings", keys+`"peer_listen": "127.0.0.1:0", "peers": ["127.0.0.2:7000", "[::1]:7000"],`, ""),
		Entry("peers without peer_listen", keys+`"peers": ["127.0.0.2:7000"],`, "peer_listen: is required"),
		Entry("no keys", `"peer_listen": "127.0.0.1:0",`, "is required with peer_listen"),
		Entry("an unspecified address", keys+`"peer_listen": "0.0.0.0:7000",`, "IP address of one host"),
		Entry("a host name", keys+`"peer_listen": "127.0.0.1:0", "peers": ["entry-2:7000"],`, "peers[0]"),
		Entry("no port", keys+`"peer_listen": "127.0.0.1",`, "missing port"),
	)

	// Guards against a recording of unlimited size.
	It("limit the size of a recording by default", func() {
		Expect(parse(`"record": {"file": "events"},`)).To(HaveField("Record.MaxSize", document.Size(settings.DefaultMaxRecordingBytes)))
	})
})
