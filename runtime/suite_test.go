package runtime

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

// waitTimeout bounds every wait for a condition.
const waitTimeout = 20 * time.Second

func TestRuntime(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "runtime")
}
