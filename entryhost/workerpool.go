package entryhost

import "context"

// workerPool runs queued tasks on a fixed number of goroutines.
type workerPool struct {
	tasks   chan func()
	workers int
}

// newWorkerPool returns a pool with a queue for maxPending tasks.
func newWorkerPool(workers, maxPending int) *workerPool {
	return &workerPool{tasks: make(chan func(), maxPending), workers: workers}
}

// start starts the workers, each with a call of run. They end when ctx is done.
func (w *workerPool) start(ctx context.Context, run func(func())) {
	for range w.workers {
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

// submit queues a task without blocking. It returns false if the queue is full.
func (w *workerPool) submit(task func()) bool {
	select {
	case w.tasks <- task:
		return true
	default:
		return false
	}
}
