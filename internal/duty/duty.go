// Package duty runs the long-lived duties of a process, one goroutine each, on a pond worker pool.
package duty

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rotisserie/eris"
)

// Func is the body of a duty. It returns when ctx ends, or earlier with the error that ends the process.
type Func func(ctx context.Context) error

// Group runs duties until one fails or its context ends.
type Group struct {
	pool   pond.Pool
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// NewGroup returns a group whose duties end with ctx.
func NewGroup(ctx context.Context) *Group {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Group{pool: pond.NewPool(0), ctx: ctx, cancel: cancel}
}

// Go starts the duty with the given name. An error or a panic of the duty ends the whole group.
func (g *Group) Go(name string, body Func) {
	g.pool.Submit(func() {
		defer g.endOnPanic(name)
		err := body(g.ctx)
		if err != nil && g.ctx.Err() == nil {
			g.cancel(eris.Wrapf(err, "duty %s", name))
		}
	})
}

// endOnPanic ends the group when a duty has panicked. The pool alone would swallow the panic, and the process would go
// on without the duty.
func (g *Group) endOnPanic(name string) {
	if cause := recover(); cause != nil {
		g.cancel(eris.Errorf("duty %s: panic: %v\n%s", name, cause, debug.Stack()))
	}
}

// Context returns the context of the duties.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Stop ends every duty.
func (g *Group) Stop() {
	g.cancel(nil)
}

// Wait waits for every duty to return. It returns the first error of a duty.
func (g *Group) Wait() error {
	<-g.ctx.Done()
	g.pool.StopAndWait()
	cause := context.Cause(g.ctx)
	if eris.Is(cause, context.Canceled) {
		return nil
	}
	return cause
}

// Every calls step each interval until ctx ends.
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
