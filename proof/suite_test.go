// Package proof tests several reducers together with random events and checks
// their effects against an oracle that tracks every run of a request. A
// simulation replaces the clock, the transport, the platform and the backend
// servers. It makes none of the decisions of a reducer.
package proof

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

// soakVariable is the environment variable that makes the properties use a random
// seed, which rapid prints when a property fails:
//
//	WISTERIAPOND_SOAK=1 go test ./proof -rapid.checks=20000
const soakVariable = "WISTERIAPOND_SOAK"

// A fixed seed keeps the result of CI the same on every run.
const (
	fixedSeed   = "20261204"
	fixedChecks = "1500"
	fixedSteps  = "120"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv(soakVariable) == "" {
		setDefaultFlag("rapid.seed", fixedSeed)
		setDefaultFlag("rapid.checks", fixedChecks)
		setDefaultFlag("rapid.steps", fixedSteps)
	}
	setDefaultFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func setDefaultFlag(name, value string) {
	explicit := false
	flag.Visit(func(f *flag.Flag) { explicit = explicit || f.Name == name })
	if explicit {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

func TestProof(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "proof")
}
