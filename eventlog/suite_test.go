package eventlog

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

func TestEventLog(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "eventlog")
}
