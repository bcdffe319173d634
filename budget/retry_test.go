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
			r.Deposit(budget.RetryDeposit)
		}
		for range 10 {
			Expect(r.Withdraw()).To(BeTrue())
		}
		Expect(r.Withdraw()).To(BeFalse())
		for range 9 {
			r.Deposit(budget.RetryDeposit)
		}
		Expect(r.Withdraw()).To(BeFalse())
		r.Deposit(budget.RetryDeposit)
		Expect(r.Tokens()).To(Equal(1))
	})
})

// Guards against a fleet whose hosts together make more retries than the platform
// allows beyond a share of the requests: after a restart of all hosts, when the
// share of a host is less than a retry, and when the number of hosts is corrected.
var _ = Describe("a share of the retries of a fleet", func() {
	It("starts with the share and fills up by deposits", func() {
		var r budget.Retries
		r.SetShare(2500)
		Expect(r.Tokens()).To(Equal(2))
		r.SetShare(4000)
		Expect(r.Tokens()).To(Equal(2))
		for range 10 {
			r.Deposit(200)
		}
		Expect(r.Tokens()).To(Equal(4))
	})

	It("allows no retry before it has earned one if it is less than a retry", func() {
		var r budget.Retries
		r.SetShare(400)
		Expect(r.Withdraw()).To(BeFalse())
		for range 3 {
			r.Deposit(200)
		}
		Expect(r.Withdraw()).To(BeTrue())
		Expect(r.Withdraw()).To(BeFalse())
	})

	It("loses what lies beyond a smaller share", func() {
		var r budget.Retries
		r.SetShare(5000)
		r.SetShare(2000)
		Expect(r.Tokens()).To(Equal(2))
		Expect(r.Withdraw()).To(BeTrue())
		r.SetShare(1000)
		Expect(r.Tokens()).To(Equal(1))
	})
})
