// Package testsuite runs the ginkgo suites of this module with a fixed seed, so
// that the order of specs, and with it the verdict, is the same on every run.
package testsuite

import (
	"os"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
)

const (
	// DefaultSeed orders the specs when nothing else is asked for.
	DefaultSeed = 1
	// SeedVariable names the environment variable that replaces DefaultSeed: a
	// number, or "fresh" for a seed of ginkgo's own choice.
	SeedVariable = "WISTERIAPOND_TEST_SEED"
)

// Run runs the specs of a package. Ginkgo prints the seed.
func Run(t *testing.T, description string) {
	t.Helper()
	suite, reporter := ginkgo.GinkgoConfiguration()
	switch seed := os.Getenv(SeedVariable); seed {
	case "fresh":
	case "":
		suite.RandomSeed = DefaultSeed
	default:
		number, err := strconv.ParseInt(seed, 10, 64)
		if err != nil {
			t.Fatalf("%s must be a number or \"fresh\", got %q", SeedVariable, seed)
		}
		suite.RandomSeed = number
	}
	ginkgo.RunSpecs(t, description, suite, reporter)
}
