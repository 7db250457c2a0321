package guard

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
)

// stackInterval is the least time between two reported stacks; a message that causes a panic may be repeated quickly.
const stackInterval = int64(time.Second)

// Guard reports recovered panics. A nil Guard and the zero value recover and report nothing; a Guard is safe for
// concurrent use.
type Guard struct {
	// OnPanic receives the place and the value of each recovered panic, and the stack unless one was reported within the
	// last second. It must not panic.
	OnPanic func(where string, value any, stack []byte)

	lastStack atomic.Int64 // Unix time in ns
}

// New returns a Guard that counts each panic as the event panicContained and logs those with a stack.
func New(count func(event string), log *zap.Logger) *Guard {
	return &Guard{OnPanic: func(where string, value any, stack []byte) {
		count("panicContained")
		if stack != nil {
			log.Error("panicContained", zap.String("where", where), zap.String("value", fmt.Sprint(value)), zap.String("stack", string(stack)))
		}
	}}
}

// Recover stops a panic of the calling function, reports it with the place, and calls then, which may be nil, if there
// was one. It must be deferred directly.
func (g *Guard) Recover(where string, then func()) {
	value := recover()
	if value == nil {
		return
	}
	g.report(where, value, time.Now())
	if then != nil {
		then()
	}
}

func (g *Guard) report(where string, value any, now time.Time) {
	if g == nil || g.OnPanic == nil {
		return
	}
	var stack []byte
	if last := g.lastStack.Load(); now.UnixNano()-last >= stackInterval && g.lastStack.CompareAndSwap(last, now.UnixNano()) {
		stack = debug.Stack()
	}
	g.OnPanic(where, value, stack)
}

// Run calls f and stops its panic.
func (g *Guard) Run(where string, f func()) {
	defer g.Recover(where, nil)
	f()
}

// Call calls f and returns its results, or an error if it panics.
func Call[T any](g *Guard, where string, f func() (T, error)) (result T, err error) {
	defer g.Recover(where, func() { err = oops.Errorf("guard: panic in %s", where) })
	return f()
}
