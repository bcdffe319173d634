package settings_test

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/document"
	"wisteriapond/intake"
	"wisteriapond/settings"
)

const validSettings = `{
	"host": "entry-1",
	"region": "mtl",
	"failure_domain": "mtl-a",
	"listen": "127.0.0.1:8080",
	"platform": "http://127.0.0.1:8500",
}`

// Guards against a process that starts with settings that differ from its file,
// and against problems without a line.
var _ = DescribeTable("Parse reports",
	func(old, replacement string, want ...string) {
		raw := strings.Replace(validSettings, old, replacement, 1)
		Expect(raw).NotTo(Equal(validSettings))
		_, err := settings.Parse("s.json", []byte(raw))
		Expect(document.ProblemTexts(err)).To(Equal(want))
	},
	Entry("a missing field", `"host": "entry-1",`, ``, "s.json:1: host: is required"),
	Entry("more pipelined requests than the bounds count", `"host": "entry-1",`, `"host": "entry-1", "limits": {"pipelined": 17},`,
		"s.json:2: limits.pipelined: must be between 1 and 16, got 17"),
	Entry("no pipelined request", `"host": "entry-1",`, `"host": "entry-1", "limits": {"pipelined": 0},`,
		"s.json:2: limits.pipelined: must be between 1 and 16, got 0"),
	Entry("an unknown field", `"host"`, `"hots": "a", "host"`, "s.json:2: hots: unknown field"),
	Entry("a host name, which needs a DNS query", `"127.0.0.1:8080"`, `"example.net:80"`,
		`s.json:5: listen: must be ADDRESS:PORT with an IP address, got "example.net:80"`),
	Entry("a port out of range", `:8080`, `:80800`,
		`s.json:5: listen: must be ADDRESS:PORT with an IP address, got "127.0.0.1:80800"`),
	Entry("a URL without a scheme", `http://`, ``,
		`s.json:6: platform: must be a URL such as "http://10.0.0.1:8500", got "127.0.0.1:8500"`),
	Entry("a duration without a unit and one out of range", `"platform"`, `"accept_for": 10, "stop_timeout": "-1s", "platform"`,
		`s.json:6: accept_for: a duration needs quotes and a unit, such as "250ms", got 10`,
		`s.json:6: stop_timeout: must be between 0s and 168h0m0s, got -1s`),
	Entry("a warm-up ratio below the rate itself and a negative slack", `"platform": "http://127.0.0.1:8500"`,
		`"store": {"address": "127.0.0.1:8500", "warm_up_ratio": 0.5, "warm_up_slack": -1}`,
		`s.json:6: store.warm_up_ratio: must be at least 1, got 0.5`,
		`s.json:6: store.warm_up_slack: must be between 0 and 1e+06, got -1`),
	Entry("limits in which no process fits", `"platform"`, `"limits": {"memory": "1MiB", "descriptors": 9}, "platform"`,
		"s.json:6: limits.memory: must be 0B or at least 8 MiB, got 1048576 bytes",
		"s.json:6: limits.descriptors: must be between 64 and 1048576, got 9"),
)

// Guards against limits of a machine that do not reach the decisions on callers.
var _ = It("passes the limits on", func() {
	raw := strings.Replace(validSettings, `"platform"`, `"limits": {"memory": "136MB", "descriptors": 2870}, "platform"`, 1)
	s, err := settings.Parse("s.json", []byte(raw))
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Limits.Intake()).To(Equal(intake.Limits{Memory: 136_000_000, Descriptors: 2870}))
})

// Guards against documentation that differs from the code.
var _ = It("lists every field with its default in docs/settings.md, and no other", func() {
	page, err := os.ReadFile("../docs/settings.md")
	Expect(err).NotTo(HaveOccurred())
	got := make(map[string]string)
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| [^|]+ \\| ([^|]*) \\|").FindAllStringSubmatch(string(page), -1) {
		got[match[1]] = strings.TrimSpace(match[2])
	}
	want := make(map[string]string)
	addDefaults(want, "", reflect.ValueOf(settings.Defaults()).Elem())
	Expect(got).To(Equal(want))
})

// addDefaults adds the fields of a struct by path, with their defaults.
func addDefaults(defaults map[string]string, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		name := prefix + v.Type().Field(i).Tag.Get("json")
		field := v.Field(i)
		if field.Kind() == reflect.Struct {
			addDefaults(defaults, name+".", field)
			continue
		}
		defaults[name] = defaultText(field)
	}
}

func defaultText(field reflect.Value) string {
	switch value := field.Interface().(type) {
	case string:
		if value == "" {
			return ""
		}
		return fmt.Sprintf("`%q`", value)
	case document.Duration, document.Size:
		return fmt.Sprintf("`\"%v\"`", value)
	}
	if field.Kind() == reflect.Slice {
		return "`[]`"
	}
	return fmt.Sprintf("`%v`", field.Interface())
}

// Guards against settings on which the parser panics, or that are accepted
// without required fields.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := settings.Parse("s.json", raw)
		if err == nil && (s.Host == "" || s.Listen == "" || s.Platform == "" || s.AcceptFor < 0) {
			t.Fatalf("settings accepted with missing or invalid fields: %+v", s)
		}
	})
}
