package peer

import (
	"sync"

	"github.com/hashicorp/yamux"
)

// maxIdle bounds the workers that wait for a stream; each keeps a stack that has grown to what a call needs.
const maxIdle = 32

// workers serve streams. A goroutine begins with a small stack and copies it several times while it
// decodes its first message, so those that have ended a stream wait for the next one.
type workers struct {
	next chan job
	idle chan struct{} // one for each worker that waits
	quit chan struct{}
	end  sync.Once // a book may be closed twice
	wg   sync.WaitGroup
}

// job is a stream to serve; done is told when it has ended.
type job struct {
	s    *session
	st   *yamux.Stream
	done *sync.WaitGroup
}

func newWorkers() *workers {
	return &workers{next: make(chan job), idle: make(chan struct{}, maxIdle), quit: make(chan struct{})}
}

// do hands a job to a waiting worker, or to a new one.
func (w *workers) do(b *Book, j job) {
	select {
	case w.next <- j:
	default:
		w.wg.Go(func() { w.work(b, j) })
	}
}

// work serves a stream and those that follow, until enough others wait.
func (w *workers) work(b *Book, j job) {
	for {
		b.serveStream(j.s, j.st)
		j.done.Done()
		select {
		case w.idle <- struct{}{}:
		default:
			return
		}
		select {
		case j = <-w.next:
			<-w.idle
		case <-w.quit:
			return
		}
	}
}

// stop ends the waiting workers; no job may follow.
func (w *workers) stop() {
	w.end.Do(func() { close(w.quit) })
	w.wg.Wait()
}
