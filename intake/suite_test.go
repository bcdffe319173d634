package intake

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "intake")
}
