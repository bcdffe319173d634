package entryhost_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

func TestEntryHost(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "entryhost")
}
