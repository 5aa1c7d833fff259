package balancer

import (
	"context"
	"sync"

	"gentianswitch/internal/control"
	"gentianswitch/internal/ring"
)

// sessionQueueCapacity is the maximum number of messages that are queued for one connection.
const sessionQueueCapacity = 256

// session is a control connection with a queue of outgoing messages, so that queueing a message never waits for
// the network.
type session struct {
	conn     *control.Conn
	outgoing *ring.Ring[control.Message]
}

func newSession(conn *control.Conn) *session {
	return &session{conn: conn, outgoing: ring.New[control.Message](sessionQueueCapacity)}
}

// send queues a message. When the queue is full, it closes the connection, because the other side has stopped reading.
func (s *session) send(m control.Message) {
	if !s.outgoing.TryPut(m) {
		s.conn.Close()
	}
}

// write sends the queued messages until ctx ends or the connection fails.
func (s *session) write(ctx context.Context) {
	for {
		m, ok := s.outgoing.Get(ctx)
		if !ok {
			return
		}
		if s.conn.Send(m) != nil {
			s.conn.Close()
			return
		}
	}
}

// runSession serves a connection until serve returns. A goroutine writes the queued messages, serve reads. Afterwards the
// membership goroutine is notified that the connection has ended.
func (b *Balancer) runSession(ctx context.Context, conn *control.Conn, serve func(s *session)) {
	s := newSession(conn)
	writing, stop := context.WithCancel(ctx)
	var writer sync.WaitGroup
	writer.Go(func() { s.write(writing) })
	serve(s)
	stop()
	conn.Close()
	writer.Wait()
	b.membership.inputs.Put(ctx, membershipInput{session: s})
}
