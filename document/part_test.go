package document_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/document"
)

// Guards against problem texts of one part that differ between a host that read
// it from the configuration service and one that received it from a peer.
var _ = DescribeTable("PartFileName is derived from the content of a part",
	func(raw, want string) {
		Expect(document.PartFileName([]byte(raw))).To(HavePrefix(want))
	},
	Entry("with problems in other fields", `{"service": "orders", "queue": -1, "more": 2}`, "services/orders.json"),
	Entry("without a name", `{"queue": 1}`, "part "),
	Entry("whose name is a path", `{"service": "../orders/x y"}`, "part "),
	Entry("that cannot be parsed", `{`, "part "),
)

// Guards against fields of a manifest that are read and then dropped.
var _ = It("ParseManifest reads the emptied failure domains", func() {
	_, manifest, err := document.ParseManifest("manifest.json", []byte(`{"generation": 3, "emptied_domains": ["mtl-a", "qc-b"]}`))
	Expect(err).NotTo(HaveOccurred())
	Expect(manifest.EmptiedDomains).To(Equal([]string{"mtl-a", "qc-b"}))
})
