package budget

// The retry budget is counted in tenths of a token, which avoids fractions.
const (
	// TokenTenths is the price of a retry: one token, in tenths.
	TokenTenths        = 10
	defaultLimitTenths = 100
)

// Deposits per arriving request, in tenths of a token.
const (
	// RetryDepositTenths limits the load added by retries to a tenth of the
	// requests, no matter what fails.
	RetryDepositTenths = 1
	// ShedDepositTenths allows twice as many retries of requests that backend
	// servers shed as there are requests. A server that sheds a request has not
	// run it, so such a retry costs it little, and most find a free slot on
	// another server.
	ShedDepositTenths = 20
)

// Retries is a retry budget of one service. Each arriving request makes a
// deposit, up to a limit of 10 tokens by default; each retry withdraws one
// token. The zero value is a full budget: a deployment with few requests must
// be able to retry its first one, and a restart adds no more retries than one
// full budget.
type Retries struct {
	spentTenths int
	// limitTenths is the size of a full budget, or 0 for defaultLimitTenths.
	limitTenths int
}

// SetLimit sets the size of a full budget in tenths of a token.
func (r *Retries) SetLimit(tenths int) { r.limitTenths = tenths }

// Deposit adds the deposit of one arriving request, in tenths of a token.
func (r *Retries) Deposit(tenths int) {
	r.spentTenths = max(r.spentTenths-tenths, 0)
}

// Withdraw deducts one token and reports whether there was one.
func (r *Retries) Withdraw() bool {
	if r.Tokens() == 0 {
		return false
	}
	r.spentTenths += TokenTenths
	return true
}

// Tokens returns the number of retries that the budget currently allows.
func (r *Retries) Tokens() int {
	limit := r.limitTenths
	if limit == 0 {
		limit = defaultLimitTenths
	}
	return max(0, limit-r.spentTenths) / TokenTenths
}
