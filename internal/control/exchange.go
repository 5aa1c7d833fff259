package control

import (
	"errors"
	"os"
	"time"
)

// CallWithin sends a message and returns the next message that arrives. It fails when none arrives within limit.
func (c *Conn) CallWithin(m Message, limit time.Duration) (Message, error) {
	if err := c.Send(m); err != nil {
		return Message{}, err
	}
	return c.ReceiveWithin(limit)
}

// CloseWatcher detects the close of a connection on which no message is expected.
type CloseWatcher struct {
	conn *Conn
	// done is closed when the read has returned.
	done chan struct{}
	// isQuiet is true when Stop interrupted the read: the connection was still open and no byte had arrived.
	isQuiet bool
}

// WatchClose calls onEnd when the other side closes the connection or sends something. The caller must not receive messages
// before Stop has returned, since both read from the connection.
func (c *Conn) WatchClose(onEnd func()) *CloseWatcher {
	w := &CloseWatcher{conn: c, done: make(chan struct{})}
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

// Stop stops the watch and reports whether the connection is still usable. It returns false when the connection has ended or a
// byte has arrived, which is lost then.
func (w *CloseWatcher) Stop() bool {
	_ = w.conn.raw.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	return w.isQuiet
}
