package peer

import (
	"sync"

	"github.com/hashicorp/yamux"
)

// maxIdleWorkers bounds the workers that wait for a job. Each of them holds a stack that has grown to the size that
// a call needs.
const maxIdleWorkers = 32

// workerPool serves streams on reused goroutines. A new goroutine starts with a small stack, which is copied
// several times while it decodes its first message.
type workerPool struct {
	jobs     chan job
	idle     chan struct{} // one element for each idle worker
	quit     chan struct{}
	stopOnce sync.Once // Close may be called more than once
	wg       sync.WaitGroup
}

// job is a stream to serve; done is decremented when it has ended.
type job struct {
	session *session
	stream  *yamux.Stream
	done    *sync.WaitGroup
}

func newWorkerPool() *workerPool {
	return &workerPool{jobs: make(chan job), idle: make(chan struct{}, maxIdleWorkers), quit: make(chan struct{})}
}

// submit passes a job to an idle worker, or to a new one if none is idle.
func (w *workerPool) submit(tr *Transport, j job) {
	select {
	case w.jobs <- j:
	default:
		w.wg.Go(func() { w.run(tr, j) })
	}
}

// run serves jobs until the pool stops or already has maxIdleWorkers idle workers.
func (w *workerPool) run(tr *Transport, j job) {
	for {
		tr.serveStream(j.session, j.stream)
		j.done.Done()
		select {
		case w.idle <- struct{}{}:
		default:
			return
		}
		select {
		case j = <-w.jobs:
			<-w.idle
		case <-w.quit:
			return
		}
	}
}

// stop ends the idle workers and waits for the others. No job may be submitted afterwards.
func (w *workerPool) stop() {
	w.stopOnce.Do(func() { close(w.quit) })
	w.wg.Wait()
}
