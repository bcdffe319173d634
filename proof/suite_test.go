// Package proof fuzzes several reducers together against an oracle that knows
// which runs happened. The world here is the transport, the platform and the
// backend servers at once, on a clock of its own; it decides nothing that a
// reducer decides.
package proof

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

// soakVariable, when set, makes the properties use a random seed, which rapid
// prints when a property fails:
//
//	WISTERIAPOND_SOAK=1 go test ./proof -rapid.checks=20000
const soakVariable = "WISTERIAPOND_SOAK"

// Fixed seeds keep the verdict of CI the same on every run.
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
