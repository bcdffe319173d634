package budget

// The retry budget is counted in thousandths of a token, which avoids fractions.
const (
	// Token is the price of a retry.
	Token        = 1000
	defaultLimit = 10 * Token
)

// Deposits per arriving request.
const (
	// RetryDeposit limits the load added by retries to a tenth of the requests, no
	// matter what fails.
	RetryDeposit = Token / 10
	// ShedDeposit allows twice as many retries of requests that backend servers shed
	// as there are requests. A server that sheds a request has not run it, so such a
	// retry costs it little, and most find a free slot on another server.
	ShedDeposit = 2 * Token
)

// Retries is a retry budget of one service. Each arriving request makes a
// deposit, up to a limit of 10 tokens by default; each retry withdraws one
// token. The zero value is a full budget: a deployment with few requests must
// be able to retry its first one, and a restart adds no more retries than one
// full budget.
type Retries struct {
	spent int
	// limit is the size of a full budget, or 0 for defaultLimit.
	limit int
}

// SetShare sets the size of a full budget to the share of this host in the retries
// that all hosts together may make beyond their deposits. A budget holds at least
// one token, but it starts with no more than the share, and when the share grows,
// the difference has to be deposited: each host gains it only from its own
// requests.
func (r *Retries) SetShare(share int) {
	limit := max(share, Token)
	if r.limit == 0 {
		r.spent += limit - min(share, limit)
	} else {
		r.spent = max(0, r.spent+limit-r.limit)
	}
	r.limit = limit
}

// Deposit adds the deposit of one arriving request.
func (r *Retries) Deposit(amount int) {
	r.spent = max(r.spent-amount, 0)
}

// Withdraw deducts one token and reports whether there was one.
func (r *Retries) Withdraw() bool {
	if r.Tokens() == 0 {
		return false
	}
	r.spent += Token
	return true
}

// Tokens returns the number of retries that the budget currently allows.
func (r *Retries) Tokens() int {
	limit := r.limit
	if limit == 0 {
		limit = defaultLimit
	}
	return max(0, limit-r.spent) / Token
}
