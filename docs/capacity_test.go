// Package docs checks that the figures in the documentation are consistent with
// each other.
package docs

import (
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

const (
	secondsPerDay  = 86400.0
	percentPerUnit = 100.0
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "docs")
}

// rowPattern matches a table row with a name, a value and, optionally, a
// further column, a target and whether the target is met.
var rowPattern = regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| ([0-9.]+) \\|(?: [^|]* \\| ([0-9.]*) ?\\| (yes|no|) ?\\|)?")

// tableRow is a row of a table. target and met are empty if the row has none.
type tableRow struct {
	text   string
	value  float64
	target string
	met    string
}

// readTable returns the rows of all tables of a page by name.
func readTable(file string) map[string]tableRow {
	page, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	rows := make(map[string]tableRow)
	for _, m := range rowPattern.FindAllStringSubmatch(string(page), -1) {
		value, err := strconv.ParseFloat(m[2], 64)
		Expect(err).NotTo(HaveOccurred())
		rows[m[1]] = tableRow{text: m[2], value: value, target: m[3], met: m[4]}
	}
	return rows
}

// totals computes the totals of the page from its input values, which value
// returns by name. Intermediate rates are in bytes and seconds; the results are
// in KB and percent.
func totals(value func(string) float64) map[string]float64 {
	hosts := math.Ceil(math.Ceil(value("calls")*value("call")/1e6/(value("cores")*value("busy"))) / (1 - value("lost")))
	calls := value("calls") / hosts
	callsAfterLoss := value("calls") / (hosts * (1 - value("lost")))
	renewals := hosts / value("regions") * value("renewals")
	moves := calls * value("moves")
	lease := value("leasebytes") + value("overhead")
	restarts := value("restarts") * value("restartbytes") * value("compressed") / secondsPerDay / hosts
	memory := value("base")*1e6 + value("upstreams")*(value("state")+value("documents")) + (hosts-1)*value("connection")*1e3
	return map[string]float64{
		"hosts":          hosts,
		"hostcalls":      calls,
		"hostcallslost":  callsAfterLoss,
		"loopshare":      calls * value("loop") / 1e6 * percentPerUnit,
		"loopsharelost":  callsAfterLoss * value("loop") / 1e6 * percentPerUnit,
		"memory":         memory / 1e6,
		"ticks":          10 * value("tick") / 1e3 * percentPerUnit,
		"changecore":     value("changes") * value("change") / 1e3 / secondsPerDay * percentPerUnit,
		"changerate":     value("changes") * value("changebytes") / secondsPerDay / 1e3,
		"restartrate":    restarts * hosts / (value("upstreams") + hosts) / 1e3,
		"restartratemax": restarts / 1e3,
		"memberrate":     (value("membershipbytes") + value("membership")*value("overhead")) / 1e3,
		"membercore":     value("membership") * value("message") / 1e6 * percentPerUnit,
		"renewrate":      renewals * lease / 1e3,
		"renewcore":      renewals * value("message") / 1e6 * percentPerUnit,
		"hostslots":      value("upstreams") * value("slots") / value("services") / hosts,
		"moverate":       moves * lease / 1e3,
		"movecore":       moves * value("message") / 1e6 * percentPerUnit,
	}
}

// Guards against totals, or statements that a target is met, that no longer
// follow from the input values on the page.
var _ = It("checks the totals of CAPACITY.md against its input values", func() {
	rows := readTable("CAPACITY.md")
	computed := totals(func(name string) float64 {
		Expect(rows).To(HaveKey(name))
		return rows[name].value
	})
	for name, want := range computed {
		Expect(rows).To(HaveKey(name))
		got := rows[name]
		decimals := 0
		if _, fraction, ok := strings.Cut(got.text, "."); ok {
			decimals = len(fraction)
		}
		Expect(got.text).To(Equal(strconv.FormatFloat(want, 'f', decimals, 64)), name)
		if got.target == "" {
			continue
		}
		target, err := strconv.ParseFloat(got.target, 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.met == "yes").To(Equal(want <= target), name)
	}
})
