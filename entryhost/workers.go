package entryhost

import "context"

// workerPool is a bounded number of goroutines that run tasks one after the
// other.
type workerPool struct {
	tasks chan func()
	n     int
}

// newWorkerPool returns n workers for up to waiting tasks.
func newWorkerPool(n, waiting int) *workerPool {
	return &workerPool{tasks: make(chan func(), waiting), n: n}
}

// start runs the workers until ctx is done.
func (w *workerPool) start(ctx context.Context, run func(func())) {
	for range w.n {
		run(func() { w.work(ctx) })
	}
}

func (w *workerPool) work(ctx context.Context) {
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
func (w *workerPool) submit(task func()) bool {
	select {
	case w.tasks <- task:
		return true
	default:
		return false
	}
}
