package entryhost_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEntryHost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entryhost")
}
