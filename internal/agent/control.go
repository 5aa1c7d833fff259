package agent

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/control"
	"gentianswitch/internal/dedupe"
)

// serveControl accepts the control connections of operators and peer agents until ctx is done.
func (a *Agent) serveControl(ctx context.Context) error {
	listener, err := net.Listen("tcp4", a.settings.Control.String())
	if err != nil {
		return eris.Wrap(err, "open control listener")
	}
	return control.Serve(ctx, listener, a.credentials, a.serveControlConn)
}

// serveControlConn handles the messages of one control connection until it fails.
func (a *Agent) serveControlConn(ctx context.Context, conn *control.Conn) {
	for ctx.Err() == nil {
		m, err := conn.Receive()
		if err != nil {
			return
		}
		if err := a.handleControlMessage(ctx, conn, m); err != nil {
			return
		}
	}
}

// handleControlMessage handles one message and sends the reply. The caller closes the connection after an error.
func (a *Agent) handleControlMessage(ctx context.Context, conn *control.Conn, m control.Message) error {
	switch {
	case m.DrainRequest != nil:
		a.drainControl.handleOperatorAction(m.DrainRequest.Action)
		return conn.Send(control.Message{DrainStatus: a.drainStatus()})
	case m.RelayOffer != nil:
		return a.handleRelayOffer(ctx, conn, m.RelayOffer)
	case m.Claim != nil:
		reply := a.idempotency.handleClaim(*m.Claim)
		return conn.Send(control.Message{ClaimReply: &reply})
	case m.ClaimOutcome != nil:
		a.idempotency.handleOutcome(*m.ClaimOutcome)
		// The reply acknowledges the message. The sender doesn't read its state.
		return conn.Send(control.Message{ClaimReply: &dedupe.ClaimReply{State: m.ClaimOutcome.State}})
	default:
		return eris.Errorf("unexpected message from %s", conn.Peer())
	}
}
