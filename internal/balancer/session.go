package balancer

import (
	"context"
	"sync"

	"gentianswitch/internal/control"
	"gentianswitch/internal/ring"
)

// sessionMessages is the number of messages that may wait for one connection.
const sessionQueueCapacity = 256

// session is a control connection on which this balancer also speaks first: to an agent or to a peer.
type session struct {
	conn     *control.Conn
	outgoing *ring.Ring[control.Message]
}

func newSession(conn *control.Conn) *session {
	return &session{conn: conn, outgoing: ring.New[control.Message](sessionQueueCapacity)}
}

// send queues a message. A connection whose ring is full is closed: its other side does not read.
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

// runSession serves a connection: one duty writes, serve reads and returns when the connection ends.
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
