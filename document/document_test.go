package document_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/document"
)

const validPart = `{
	// Orders run once.
	"service": "orders",
	"match": [{"path_prefix": "/orders/"}],
	"timeout": "30s",
	"upstreams": [
		{"name": "press-1", "host": "press-1", "address": "10.0.0.1:80",
		 "region": "mtl", "failure_domain": "mtl-a", "slots": 3, "connections": 220},
	],
}`

// Guards against problems without file, line and field, and against parsing
// that stops at the first problem.
var _ = DescribeTable("ParseService reports",
	func(old, replacement string, want ...string) {
		raw := strings.Replace(validPart, old, replacement, 1)
		Expect(raw).NotTo(Equal(validPart))
		_, err := document.ParseService("services/orders.json", []byte(raw))
		Expect(document.ProblemTexts(err)).To(Equal(want))
	},
	Entry("an unknown field", `"slots"`, `"slot"`,
		`services/orders.json:7: upstreams[0].slots: must be between 1 and 4096, got 0`,
		`services/orders.json:8: upstreams[0].slot: unknown field`),
	Entry("a missing unit", `"30s"`, `30`,
		`services/orders.json:5: timeout: a duration needs quotes and a unit, such as "250ms", got 30`),
	Entry("a missing unit in quotes", `"30s"`, `"30"`,
		`services/orders.json:5: timeout: a duration needs a unit, such as "250ms", got "30"`),
	Entry("a value out of range", `"30s"`, `"2h"`,
		`services/orders.json:5: timeout: must be between 1ms and 1h0m0s, got 2h0m0s`),
	Entry("a duplicate key", `"timeout": "30s"`, `"timeout": "30s", "timeout": "20s"`,
		`services/orders.json:5: timeout: the key is already used in line 5`),
	Entry("an invalid selector", `"timeout": "30s"`, `"selectors": [{"when": "method=POST", "hosts": "tier in old"}]`,
		`services/orders.json:5: selectors[0].hosts: invalid selector: invalid key "tier in old" in "tier in old"`),
	Entry("a wrong type", `"slots": 3`, `"slots": "3"`,
		`services/orders.json:8: upstreams[0].slots: must be a whole number, got "3"`),
	// Every response without the header would match an empty value, and a
	// request that ran would be reported as not run.
	Entry("a not-run form that matches every response", `"timeout": "30s"`, `"not_run": {"status": 503, "header": "X-Refused"}`,
		`services/orders.json:5: not_run.value: is required`),
	Entry("a request label that overrides the method", `"timeout": "30s"`, `"request_labels": [{"label": "method", "from_header": "X-M"}]`,
		`services/orders.json:5: request_labels[0].label: "method" is set by the system`),
	Entry("an upstream label that overrides the region", `"slots": 3`, `"labels": {"region": "qc"}, "slots": 3`,
		`services/orders.json:8: upstreams[0].labels.region: is set by the system`),
	Entry("a region that no selector can match", `"mtl",`, `"m t l",`,
		`services/orders.json:8: upstreams[0].region: invalid name "m t l"`),
	Entry("an address without a port", `"10.0.0.1:80"`, `"10.0.0.1"`,
		`services/orders.json:7: upstreams[0].address: must be ADDRESS:PORT, got "10.0.0.1"`),
	Entry("null", `"30s"`, `null`,
		`services/orders.json:5: timeout: must be a quoted value with its unit, got null`),
	Entry("a list in place of an object", `{"path_prefix": "/orders/"}`, `"/orders/"`,
		`services/orders.json:4: match[0]: must be an object, got a string`),
	Entry("a syntax error", `"match":`, `"match"`,
		`services/orders.json:4: column 10: invalid character '[' after object name`),
	Entry("several problems at once", `"slots": 3, "connections": 220`, `"slots": 0, "connections": -1`,
		`services/orders.json:8: upstreams[0].slots: must be between 1 and 4096, got 0`,
		`services/orders.json:8: upstreams[0].connections: must be between 1 and 65536, got -1`),
)

// Guards against parse errors caused by comments or trailing commas, and against
// missing defaults.
var _ = It("ParseService accepts comments and trailing commas, and applies defaults", func() {
	service, err := document.ParseService("services/orders.json", []byte(validPart))
	Expect(err).NotTo(HaveOccurred())
	Expect(service.Timeout).To(Equal(30 * time.Second))
	Expect(service.Queue).To(Equal(document.DefaultQueueLength))
	Expect(service.ColdStart).To(Equal(document.DefaultColdStart))
	Expect(service.Match[0].Line).To(Equal(4))
})

// Guards against a rate of cold servers that is rounded to 0, which would mean no limit,
// and against one out of bounds that is converted to an integer.
var _ = DescribeTable("ParseService reads the rate of cold servers",
	func(rate string, want int, problem string) {
		raw := strings.Replace(validPart, `"timeout"`, `"cold_rate": `+rate+`, "timeout"`, 1)
		Expect(raw).NotTo(Equal(validPart))
		service, err := document.ParseService("part", []byte(raw))
		if problem != "" {
			Expect(err).To(MatchError(ContainSubstring(problem)))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(service.ColdRate).To(Equal(want))
	},
	Entry("in requests per second", "4.5", 4500, ""),
	Entry("that is small", "0.0001", 1, ""),
	Entry("that means no limit", "0", 0, ""),
	Entry("unless it is negative", "-1", 0, "cold_rate: must be between 0 and 1000000 requests per second"),
	Entry("unless it is huge", "1e300", 0, "cold_rate: must be between 0 and 1000000 requests per second"),
)

// Guards against documents that exhaust the stack or the memory of a host.
var _ = DescribeTable("ParseService refuses to decode",
	func(raw, want string) {
		Expect(document.ParseService("part", []byte(raw))).Error().To(MatchError(want))
	},
	Entry("an empty document", "", "part:1: column 1: parsing value: unexpected EOF"),
	Entry("a list", "[]", "part:1: must be an object, got a list"),
	Entry("deep nesting", strings.Repeat("[", 1000), "part: lists and objects are nested more than 32 deep"),
	Entry("a large document", strings.Repeat(" ", document.MaxBytes+1), "part: larger than 1048576 bytes"),
)

// Guards against manifests that are accepted with unusable values.
var _ = DescribeTable("ParseManifest reports",
	func(raw string, want ...string) {
		_, _, err := document.ParseManifest("manifest.json", []byte(raw))
		Expect(document.ProblemTexts(err)).To(Equal(want))
	},
	Entry("a missing generation", "{\n\"services\": {}}", "manifest.json:1: generation: must be at least 1"),
	Entry("a malformed hash", "{\"generation\": 1,\n\"services\": {\"orders\": \"12\"}}",
		"manifest.json:2: services.orders: must be a SHA-256 in lower-case hexadecimal"),
	Entry("a probe budget smaller than the number of entry hosts", "{\"generation\": 1, \"entry_hosts\": 17,\n\"measuring\": {\"requests_per_minute\": 16}}",
		"manifest.json:2: measuring.requests_per_minute: must be 0 or at least entry_hosts (17)"),
)

// Guards against host lists that are accepted with unknown values or duplicates.
var _ = DescribeTable("ParseHostList reports",
	func(raw, want string) {
		Expect(document.ParseHostList("hosts", []byte(raw))).Error().To(MatchError(want))
	},
	Entry("an unknown role", `{"hosts": [{"host": "a", "role": "press", "state": "live"}]}`,
		`hosts:1: hosts[0].role: must be "backend" or "entry"`),
	Entry("an unknown state", `{"hosts": [{"host": "a", "role": "entry", "state": "up"}]}`,
		`hosts:1: hosts[0].state: must be "live" or "leaving"`),
	Entry("a duplicate host", "{\"hosts\": [{\"host\": \"a\", \"role\": \"entry\", \"state\": \"live\"},\n{\"host\": \"a\", \"role\": \"entry\", \"state\": \"live\"}]}",
		`hosts:2: hosts[1].host: "a" is used twice`),
)

// Guards against sizes that are parsed with the wrong unit or overflow.
var _ = DescribeTable("ParseSize",
	func(text string, want int64) {
		size, err := document.ParseSize(text)
		if want < 0 {
			Expect(err).To(HaveOccurred())
			return
		}
		Expect(size, err).To(Equal(want))
	},
	Entry(nil, "64KiB", int64(64<<10)),
	Entry(nil, "2 MB", int64(2e6)),
	Entry(nil, "0B", int64(0)),
	Entry(nil, "64", int64(-1)),
	Entry(nil, "-1B", int64(-1)),
	Entry(nil, "9223372036854775807GiB", int64(-1)),
	Entry(nil, "KiB", int64(-1)),
)
