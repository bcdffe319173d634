// Package testsuite runs the Ginkgo suites of this module with a fixed seed by
// default, so that the order of the specs, and therefore the result, is the
// same on every run.
package testsuite

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
)

const (
	// DefaultSeed is the seed of the spec order if SeedVariable is not set.
	DefaultSeed = 1
	// SeedVariable is the environment variable that overrides DefaultSeed. Its
	// value is a number, or "fresh" for a random seed chosen by Ginkgo.
	SeedVariable = "WISTERIAPOND_TEST_SEED"
)

// Run runs the specs of the calling package as one suite with the given
// description. Ginkgo prints the seed.
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

// UnusedAddress returns a loopback address at which nothing listens, for a server that is
// started later. Its host part belongs to the calling process alone: the system hands out
// the ports of 127.0.0.1 to every test that listens or connects at the same time.
func UnusedAddress() (string, error) {
	id := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+id>>16&0x7f, id>>8&0xff, id&0xff))
	if err != nil {
		return "", fmt.Errorf("find an unused address: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
