package control

import (
	"errors"
	"os"
	"time"
)

// CallWithin sends a message and returns the next one that arrives within limit.
func (c *Conn) CallWithin(m Message, limit time.Duration) (Message, error) {
	if err := c.Send(m); err != nil {
		return Message{}, err
	}
	return c.ReceiveWithin(limit)
}

// Watch waits for the end of a connection on which nothing is expected to arrive.
type Watch struct {
	conn    *Conn
	done    chan struct{}
	isQuiet bool
}

// WatchEnd calls onEnd when the other side closes the connection or sends something. Nothing may be received until
// Stop has returned.
func (c *Conn) WatchEnd(onEnd func()) *Watch {
	w := &Watch{conn: c, done: make(chan struct{})}
	_ = c.raw.SetReadDeadline(time.Time{})
	go func() {
		defer close(w.done)
		var one [1]byte
		_, err := c.raw.Read(one[:])
		w.isQuiet = errors.Is(err, os.ErrDeadlineExceeded)
		if !w.isQuiet {
			onEnd()
		}
	}()
	return w
}

// Stop ends the watch. It reports false when the connection has ended or something has arrived.
func (w *Watch) Stop() bool {
	_ = w.conn.raw.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	return w.isQuiet
}
