package storeage_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/testsuite"
)

func TestStoreage(t *testing.T) {
	RegisterFailHandler(Fail)
	testsuite.Run(t, "storeage")
}
