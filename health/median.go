package health

import "time"

// medianStepDivisor is the part of its value by which a Median moves at most.
const medianStepDivisor = 16

// Median follows the median of a stream in constant memory. Unlike a mean it
// is not moved by a few requests that run many times longer than the rest.
type Median struct {
	value time.Duration
}

// Add takes one value into account.
func (m *Median) Add(x time.Duration) {
	step := max(m.value/medianStepDivisor, 1)
	switch {
	case m.value == 0:
		m.value = x
	case x > m.value:
		m.value = min(x, m.value+step)
	case x < m.value:
		m.value = max(x, m.value-step)
	}
}

// Value returns the median, or 0 before the first value.
func (m *Median) Value() time.Duration { return m.value }
