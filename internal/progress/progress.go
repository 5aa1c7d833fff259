// Package progress aborts transfers that stall. It limits the time without progress instead of the total time, so that the
// limit fits transfers of every size and links of every speed.
package progress

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStalled is the cause of a context that was canceled because its transfer made no progress in time.
var ErrStalled = eris.New("no progress in time")

// Watchdog is a watchdog timer that cancels a context when no progress is recorded in time.
type Watchdog struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// NewWatchdog returns a watchdog and the context that it cancels with the cause ErrStalled. The first progress is due within
// first, each later one within limit of the one before. The caller must call Stop to release the timer.
func NewWatchdog(ctx context.Context, first, limit time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancel(ErrStalled) })
	return ctx, &Watchdog{limit: limit, timer: timer, cancel: cancel}
}

// RecordProgress records progress: the next is due within the limit.
func (w *Watchdog) RecordProgress() { w.timer.Reset(w.limit) }

// Stop stops the timer and cancels the context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// Reader returns a reader of r. Each read that returns bytes counts as progress.
func (w *Watchdog) Reader(r io.Reader) io.Reader { return &watchedReader{source: r, watch: w} }

type watchedReader struct {
	source io.Reader
	watch  *Watchdog
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.watch.RecordProgress()
	}
	return n, err
}

// writeChunkBytes is the most that Conn writes under one deadline. Each completed chunk counts as progress.
const writeChunkBytes = 8 << 10

// Conn is a connection whose reads and writes time out when they make no progress for some time, or when a total time has
// passed.
type Conn struct {
	net.Conn
	limit time.Duration
	end   time.Time
}

// NewConn wraps conn. Reads and writes time out after limit without progress, and all of them when total has passed since
// this call.
func NewConn(conn net.Conn, limit, total time.Duration) *Conn {
	return &Conn{Conn: conn, limit: limit, end: time.Now().Add(total)}
}

// deadline returns the deadline of the next read or write chunk.
func (c *Conn) deadline() time.Time {
	if next := time.Now().Add(c.limit); next.Before(c.end) {
		return next
	}
	return c.end
}

// Read implements net.Conn. It times out when no byte arrives for the limit.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.deadline()); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. It times out when a chunk of writeChunkBytes isn't written within the limit.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.SetWriteDeadline(c.deadline()); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+writeChunkBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
