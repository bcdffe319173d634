package keys

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "keys")
}
