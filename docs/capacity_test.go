// Package docs holds the pages against each other and against the code.
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
	day     = 86400.0 // seconds
	percent = 100.0
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "docs")
}

var row = regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| ([0-9.]+) \\|(?: [^|]* \\| ([0-9.]*) ?\\| (yes|no|) ?\\|)?")

type line struct {
	text   string
	value  float64
	target string
	met    string
}

func readPage(file string) map[string]line {
	page, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	lines := make(map[string]line)
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		value, err := strconv.ParseFloat(m[2], 64)
		Expect(err).NotTo(HaveOccurred())
		lines[m[1]] = line{text: m[2], value: value, target: m[3], met: m[4]}
	}
	return lines
}

// totals computes the page's totals. Rates are in bytes and seconds until the
// end, where they become KB and percent.
func totals(v func(string) float64) map[string]float64 {
	hosts := math.Ceil(math.Ceil(v("calls")*v("call")/1e6/(v("cores")*v("busy"))) / (1 - v("lost")))
	calls := v("calls") / hosts
	lost := v("calls") / (hosts * (1 - v("lost")))
	renewals := hosts / v("regions") * v("renewals")
	moves := calls * v("moves")
	lease := v("leasebytes") + v("overhead")
	restarts := v("restarts") * v("restartbytes") * v("compressed") / day / hosts
	memory := v("base")*1e6 + v("upstreams")*(v("state")+v("documents")) + (hosts-1)*v("connection")*1e3
	return map[string]float64{
		"hosts":          hosts,
		"hostcalls":      calls,
		"hostcallslost":  lost,
		"loopshare":      calls * v("loop") / 1e6 * percent,
		"loopsharelost":  lost * v("loop") / 1e6 * percent,
		"memory":         memory / 1e6,
		"ticks":          10 * v("tick") / 1e3 * percent,
		"changecore":     v("changes") * v("change") / 1e3 / day * percent,
		"changerate":     v("changes") * v("changebytes") / day / 1e3,
		"restartrate":    restarts * hosts / (v("upstreams") + hosts) / 1e3,
		"restartratemax": restarts / 1e3,
		"memberrate":     (v("membershipbytes") + v("membership")*v("overhead")) / 1e3,
		"membercore":     v("membership") * v("message") / 1e6 * percent,
		"renewrate":      renewals * lease / 1e3,
		"renewcore":      renewals * v("message") / 1e6 * percent,
		"hostslots":      v("upstreams") * v("slots") / v("services") / hosts,
		"moverate":       moves * lease / 1e3,
		"movecore":       moves * v("message") / 1e6 * percent,
	}
}

// Guards against a page whose text and numbers no longer agree.
var _ = It("computes the totals of CAPACITY.md from its slopes", func() {
	lines := readPage("CAPACITY.md")
	computed := totals(func(name string) float64 {
		Expect(lines).To(HaveKey(name))
		return lines[name].value
	})
	for name, want := range computed {
		Expect(lines).To(HaveKey(name))
		got := lines[name]
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
