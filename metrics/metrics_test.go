package metrics_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/core"
	"wisteriapond/metrics"
	"wisteriapond/outcome"
)

// Guards against counters that are not documented for operators.
var _ = It("describes every counter of the reducer", func() {
	described := make(map[string]bool)
	for _, d := range metrics.Descriptions() {
		described[d.Name] = true
	}
	for _, name := range counterNames() {
		Expect(described).To(HaveKey(name), "add the counter to metrics/describe.go and docs/metrics.md")
	}
})

// Guards against operators' documentation that differs from the code.
var _ = It("lists every metric in docs/metrics.md, and no other", func() {
	page, err := os.ReadFile("../docs/metrics.md")
	Expect(err).NotTo(HaveOccurred())
	var rows, want []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `wisteriapond_") {
			rows = append(rows, line)
		}
	}
	for _, d := range metrics.Descriptions() {
		want = append(want, tableRow(d))
	}
	Expect(rows).To(ConsistOf(want))
})

// Guards against values of the label "reason" that are not documented for operators.
var _ = It("lists every reason in docs/metrics.md", func() {
	page, err := os.ReadFile("../docs/metrics.md")
	Expect(err).NotTo(HaveOccurred())
	for _, reason := range outcome.Refusals() {
		Expect(string(page)).To(ContainSubstring("`" + string(reason) + "`"))
	}
	for _, reason := range outcome.Failures() {
		Expect(string(page)).To(ContainSubstring("`" + string(reason) + "`"))
	}
})

// Guards against series that are missing or have the wrong label.
var _ = It("writes counters and histograms", func() {
	set := metrics.New()
	set.Add(core.CounterRequests, "orders", 2)
	set.Add(core.CounterRequests, "orders", 1)
	set.ObserveRequest("orders", metrics.OutcomeResponded, 20*time.Millisecond)
	set.ObserveRequest("", metrics.OutcomeNotRun, time.Millisecond)
	set.ObserveStep(time.Microsecond)
	var out bytes.Buffer
	set.Write(&out)
	Expect(out.String()).To(And(
		ContainSubstring(`wisteriapond_requests_total{service="orders"} 3`),
		ContainSubstring(`wisteriapond_refusals_total{reason="no_host"} 0`),
		ContainSubstring(`wisteriapond_request_seconds_count{service="orders",outcome="answered"} 1`),
		ContainSubstring(`wisteriapond_request_seconds_count{service="none",outcome="not_run"} 1`),
		ContainSubstring("wisteriapond_step_seconds_count 1"),
	))
})

// tableRow returns the row of a metric in the table of docs/metrics.md.
func tableRow(d metrics.Description) string {
	labels := make([]string, 0, len(d.Labels))
	for _, l := range d.Labels {
		labels = append(labels, "`"+l+"`")
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |", d.FullName(), d.Kind, strings.Join(labels, ", "), d.Unit, d.Meaning)
}

// counterNames returns the values of the constants of type Counter, which it reads
// from the source of package core.
func counterNames() []string {
	file, err := parser.ParseFile(token.NewFileSet(), "../core/counter.go", nil, 0)
	Expect(err).NotTo(HaveOccurred())
	var names []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typeName, ok := spec.Type.(*ast.Ident); ok && typeName.Name == "Counter" {
			name, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			Expect(err).NotTo(HaveOccurred())
			names = append(names, name)
		}
		return true
	})
	Expect(names).NotTo(BeEmpty())
	return names
}

func BenchmarkAdd(b *testing.B) {
	set := metrics.New()
	for b.Loop() {
		set.Add(core.CounterRequests, "catalogue", 1)
	}
}
