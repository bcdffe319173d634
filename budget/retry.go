package budget

// The retry budget counts in tenths of a token, so that it needs no fractions.
const (
	// TokenTenths is one token, which is what a retry takes.
	TokenTenths        = 10
	defaultLimitTenths = 100
)

// What an arriving request adds to a budget, in tenths of a token.
const (
	// RetryDepositTenths lets retries add a tenth to the load, whatever fails.
	RetryDepositTenths = 1
	// ShedDepositTenths lets retries of requests that backend servers shed be twice
	// the requests. A server that sheds has not run anything, so such a retry
	// costs it little, and most find a free slot elsewhere.
	ShedDepositTenths = 20
)

// Retries is a retry budget of one service. Each arriving request adds to it,
// up to 10 tokens; each retry takes one. The zero Retries is full: a site
// with few requests must be able to retry its first one, and a restart adds no
// more than 10 retries.
type Retries struct {
	spentTenths int
	// limitTenths is the size of a full budget; 0 stands for capTenths.
	limitTenths int
}

// SetLimit sets the size of a full budget, in tenths of a token.
func (r *Retries) SetLimit(tenths int) { r.limitTenths = tenths }

// Deposit adds what one arriving request brings.
func (r *Retries) Deposit(tenths int) {
	r.spentTenths = max(r.spentTenths-tenths, 0)
}

// Withdraw takes one token, or reports that there is none.
func (r *Retries) Withdraw() bool {
	if r.Tokens() == 0 {
		return false
	}
	r.spentTenths += TokenTenths
	return true
}

// Tokens returns the number of retries that the budget allows now.
func (r *Retries) Tokens() int {
	limit := r.limitTenths
	if limit == 0 {
		limit = defaultLimitTenths
	}
	return max(0, limit-r.spentTenths) / TokenTenths
}
