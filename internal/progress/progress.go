// Package progress bounds the time for which a transfer makes no progress, whatever its size and the speed of the link.
package progress

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStalled is the cause of a context that a Watch has ended.
var ErrStalled = eris.New("no progress in time")

// Watch ends a context when nothing advances it in time.
type Watch struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// NewWatch returns a context that ends with ErrStalled when Advance is not called for limit; the first call has the time
// first. Stop releases it.
func NewWatch(ctx context.Context, first, limit time.Duration) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancel(ErrStalled) })
	return ctx, &Watch{limit: limit, timer: timer, cancel: cancel}
}

// Advance notes progress.
func (w *Watch) Advance() { w.timer.Reset(w.limit) }

// Stop ends the watch and its context.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// Reader returns a reader of r whose reads advance the watch.
func (w *Watch) Reader(r io.Reader) io.Reader { return &watchedReader{source: r, watch: w} }

type watchedReader struct {
	source io.Reader
	watch  *Watch
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.watch.Advance()
	}
	return n, err
}

// writeChunk is the number of bytes that a connection writes under one deadline.
const writeChunk = 8 << 10

// Conn is a connection whose reads and writes fail when they make no progress for a limit. Neither lasts longer than until
// end altogether.
type Conn struct {
	net.Conn
	limit time.Duration
	end   time.Time
}

// NewConn returns a connection that fails after limit without progress, and in any case after total.
func NewConn(conn net.Conn, limit, total time.Duration) *Conn {
	return &Conn{Conn: conn, limit: limit, end: time.Now().Add(total)}
}

func (c *Conn) deadline() time.Time {
	if next := time.Now().Add(c.limit); next.Before(c.end) {
		return next
	}
	return c.end
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.deadline()); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(c.deadline()); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writeChunk, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
