package budget_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Fixed inputs of the property tests. Another seed is given by -rapid.seed.
func init() {
	if seed := flag.Lookup("rapid.seed"); seed != nil {
		seed.Value.Set("1")
	}
}

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "budget")
}
