// Package duty runs the long-lived tasks of a process, here called duties: one goroutine each, on a pond worker pool.
package duty

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rotisserie/eris"
)

// Func is the body of a duty. It returns nil when ctx ends, or an error when the duty fails before that.
type Func func(ctx context.Context) error

// Group runs duties until one of them fails, Stop is called or the parent context ends.
type Group struct {
	pool   pond.Pool
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// NewGroup returns a group without duties. The context of its duties ends with ctx.
func NewGroup(ctx context.Context) *Group {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Group{pool: pond.NewPool(0), ctx: ctx, cancel: cancel}
}

// Go starts a duty. The name appears in the error that Wait returns. An error or a panic of the duty stops the whole group.
// Once the group is stopping, errors of duties are ignored.
func (g *Group) Go(name string, body Func) {
	g.pool.Submit(func() {
		defer g.stopOnPanic(name)
		err := body(g.ctx)
		if err != nil && g.ctx.Err() == nil {
			g.cancel(eris.Wrapf(err, "duty %s", name))
		}
	})
}

// stopOnPanic stops the group when a duty has panicked. The pool alone would swallow the panic, and the process would
// continue without the duty.
func (g *Group) stopOnPanic(name string) {
	if cause := recover(); cause != nil {
		g.cancel(eris.Errorf("duty %s: panic: %v\n%s", name, cause, debug.Stack()))
	}
}

// Context returns the context that is passed to the duties.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Stop cancels the context of all duties. It does not wait for them to return.
func (g *Group) Stop() {
	g.cancel(nil)
}

// Wait blocks until the group is stopped and all duties have returned. It returns the error of the first duty that failed,
// and nil after Stop or when the parent context was canceled.
func (g *Group) Wait() error {
	<-g.ctx.Done()
	g.pool.StopAndWait()
	cause := context.Cause(g.ctx)
	if eris.Is(cause, context.Canceled) {
		return nil
	}
	return cause
}

// Every calls step once per interval until ctx ends. It returns when ctx ends.
func Every(ctx context.Context, interval time.Duration, step func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			step(now)
		}
	}
}
