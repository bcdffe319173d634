package entryhost

import "context"

// workers is a bounded number of goroutines that run tasks one after the
// other.
type workers struct {
	tasks chan func()
	n     int
}

// newWorkers returns n workers for up to waiting tasks.
func newWorkers(n, waiting int) *workers {
	return &workers{tasks: make(chan func(), waiting), n: n}
}

// start runs the workers until ctx is done.
func (w *workers) start(ctx context.Context, run func(func())) {
	for range w.n {
		run(func() { w.work(ctx) })
	}
}

func (w *workers) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-w.tasks:
			task()
		}
	}
}

// submit queues a task. It never blocks and reports false when too many wait.
func (w *workers) submit(task func()) bool {
	select {
	case w.tasks <- task:
		return true
	default:
		return false
	}
}
