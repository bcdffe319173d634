package peer

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "peer")
}
