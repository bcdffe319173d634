package budget

// The retry budget counts in tenths of a token, so that it needs no fractions.
const (
	depositTenths  = 1
	withdrawTenths = 10
	capTenths      = 100
)

// Retries is the retry budget of one service. Each arriving request adds a
// tenth of a token, up to 10 tokens; each retry takes one. Retries thus add at
// most a tenth to the load, whatever fails. The zero Retries is empty, so that
// a restart loop gains nothing.
type Retries struct {
	tenths int
}

// Deposit adds the share of one arriving request.
func (r *Retries) Deposit() {
	r.tenths = min(r.tenths+depositTenths, capTenths)
}

// Withdraw takes one token, or reports that there is none.
func (r *Retries) Withdraw() bool {
	if r.tenths < withdrawTenths {
		return false
	}
	r.tenths -= withdrawTenths
	return true
}

// Tokens returns the number of retries that the budget allows now.
func (r *Retries) Tokens() int { return r.tenths / withdrawTenths }
