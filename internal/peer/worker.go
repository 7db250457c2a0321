package peer

import (
	"sync"
)

// maxIdleWorkers bounds the workers that wait for a job. Each of them holds a stack that has grown to the size that
// a call needs.
const maxIdleWorkers = 64

// workerPool runs jobs on reused goroutines. A new goroutine starts with a small stack, which is copied several times
// while it decodes its first message or runs its first call.
type workerPool struct {
	jobs     chan func()
	idle     chan struct{} // one element for each idle worker
	quit     chan struct{}
	stopOnce sync.Once // Close may be called more than once
	wg       sync.WaitGroup
}

func newWorkerPool() *workerPool {
	return &workerPool{jobs: make(chan func()), idle: make(chan struct{}, maxIdleWorkers), quit: make(chan struct{})}
}

// submit passes a job to an idle worker, or to a new one if none is idle. It does not wait for the job.
func (w *workerPool) submit(job func()) {
	select {
	case w.jobs <- job:
	default:
		w.wg.Go(func() { w.run(job) })
	}
}

// run runs jobs until the pool stops or already has maxIdleWorkers idle workers.
func (w *workerPool) run(job func()) {
	for {
		job()
		select {
		case w.idle <- struct{}{}:
		default:
			return
		}
		select {
		case job = <-w.jobs:
			<-w.idle
		case <-w.quit:
			return
		}
	}
}

// stop ends the idle workers and waits for the others. No job may be submitted afterwards, except by a running job.
func (w *workerPool) stop() {
	w.stopOnce.Do(func() { close(w.quit) })
	w.wg.Wait()
}
