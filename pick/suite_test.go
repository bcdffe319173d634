package pick_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

func TestPick(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "pick")
}
