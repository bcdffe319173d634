package health

import "time"

// medianStepDivisor bounds the change of a Median per value to
// 1/medianStepDivisor of its current estimate.
const medianStepDivisor = 16

// Median estimates the median of a stream of values in constant memory. Unlike
// a mean, the estimate is not moved by a few requests that run many times
// longer than the rest.
type Median struct {
	value time.Duration
}

// Add includes a value in the estimate.
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

// Value returns the estimated median, or 0 before the first value.
func (m *Median) Value() time.Duration { return m.value }
