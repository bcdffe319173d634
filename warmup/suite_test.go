package warmup_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

// init makes the inputs of property tests reproducible, and keeps failing inputs
// out of the source tree. -rapid.seed sets another seed.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

func TestWarmup(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "warmup")
}
