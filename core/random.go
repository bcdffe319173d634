package core

// random is a splitmix64 generator. It is part of the state, so that the replay of
// an event log makes the same choices. The sources of math/rand cannot be kept as
// plain data.
type random struct {
	state uint64
}

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// intN returns a number from 0 to n-1. n must be positive.
func (r *random) intN(n int) int {
	return int(r.next() % uint64(n))
}
