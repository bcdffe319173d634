package budget

// The retry budget counts in tenths of a token, so that it needs no fractions.
const (
	depositTenths  = 1
	withdrawTenths = 10
	capTenths      = 100
)

// Retries is the retry budget of one service. Each arriving request adds a
// tenth of a token, up to 10 tokens; each retry takes one. Retries thus add at
// most a tenth to the load, whatever fails. The zero Retries is full: a site
// with few requests must be able to retry its first one, and a restart adds no
// more than 10 retries.
type Retries struct {
	spentTenths int
}

// Deposit adds the share of one arriving request.
func (r *Retries) Deposit() {
	r.spentTenths = max(r.spentTenths-depositTenths, 0)
}

// Withdraw takes one token, or reports that there is none.
func (r *Retries) Withdraw() bool {
	if r.Tokens() == 0 {
		return false
	}
	r.spentTenths += withdrawTenths
	return true
}

// Tokens returns the number of retries that the budget allows now.
func (r *Retries) Tokens() int { return (capTenths - r.spentTenths) / withdrawTenths }
