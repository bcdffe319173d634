package document_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/document"
)

// Guards against refusals of one part that differ between a host that read it
// from the configuration service and one that has it from a peer.
var _ = DescribeTable("PartFile names a part by its content",
	func(raw, want string) {
		Expect(document.PartFileName([]byte(raw))).To(HavePrefix(want))
	},
	Entry("with problems elsewhere", `{"service": "orders", "queue": -1, "more": 2}`, "services/orders.json"),
	Entry("without a name", `{"queue": 1}`, "part "),
	Entry("with a name that is a path", `{"service": "../orders/x y"}`, "part "),
	Entry("that is no document", `{`, "part "),
)
