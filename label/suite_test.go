package label_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

func TestLabel(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "label")
}
