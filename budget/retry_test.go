package budget_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriapond/budget"
)

// Guards against retries that add more than a tenth to the load, and against a
// burst of more than ten retries.
var _ = Describe("Retries", func() {
	It("starts full, holds ten tokens and gains a tenth of a token per request", func() {
		var r budget.Retries
		for range 1000 {
			r.Deposit(budget.RetryDepositTenths)
		}
		for range 10 {
			Expect(r.Withdraw()).To(BeTrue())
		}
		Expect(r.Withdraw()).To(BeFalse())
		for range 9 {
			r.Deposit(budget.RetryDepositTenths)
		}
		Expect(r.Withdraw()).To(BeFalse())
		r.Deposit(budget.RetryDepositTenths)
		Expect(r.Tokens()).To(Equal(1))
	})
})
