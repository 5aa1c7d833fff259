package operator

import (
	"context"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
	"gentianswitch/internal/standin/certificates"
)

func testCredentials(t *testing.T) *control.Credentials {
	t.Helper()
	dir := t.TempDir()
	if err := certificates.Write(dir); err != nil {
		t.Fatal(err)
	}
	return loadCredentials(t, dir)
}

func loadCredentials(t *testing.T, dir string) *control.Credentials {
	t.Helper()
	credentials, err := control.LoadCredentials(control.Files{
		Certificate: filepath.Join(dir, certificates.CertificateFile),
		Key:         filepath.Join(dir, certificates.KeyFile),
		Authority:   filepath.Join(dir, certificates.AuthorityFile),
	})
	if err != nil {
		t.Fatal(err)
	}
	return credentials
}

// serveControl starts a control server that answers each message with the function's reply until the test ends. It returns
// the address of the server.
func serveControl(t *testing.T, credentials *control.Credentials, reply func(control.Message) control.Message) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = control.Serve(ctx, listener, credentials, func(_ context.Context, conn *control.Conn) {
			for {
				m, err := conn.Receive()
				if err != nil || conn.Send(reply(m)) != nil {
					return
				}
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// fakeBalancer applies revisions as a balancer does. With ignoresOffers it keeps its previous revision and replies with that.
type fakeBalancer struct {
	mu            sync.Mutex
	state         *revision.State
	ignoresOffers bool
}

func (b *fakeBalancer) reply(m control.Message) control.Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case m.StatusRequest != nil:
		return control.Message{Status: &control.Status{Revision: b.state.ID().Number, Change: b.state.ID().ChangeID}}
	case m.RevisionRequest != nil:
		return control.Message{RevisionReply: &control.RevisionReply{Revision: b.state.UpdateSince(m.RevisionRequest.InForce)}}
	default:
		outcome := revision.Older
		if !b.ignoresOffers {
			outcome = b.state.Apply(m.RevisionOffer.Revision)
		}
		return control.Message{RevisionAck: &control.RevisionAck{InForce: b.state.ID(), Outcome: outcome}}
	}
}

// fakeAgent has one flow, which ends after remainingQueries drain queries.
type fakeAgent struct {
	mu               sync.Mutex
	state            member.State
	remainingQueries int
	actions          []control.DrainAction
}

func (a *fakeAgent) reply(m control.Message) control.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := &control.DrainStatus{State: a.state, Flows: 1}
	switch m.DrainRequest.Action {
	case control.DrainStart:
		a.state, status.State = member.Draining, member.Draining
	case control.DrainUndo:
		a.state, status.State = member.Ready, member.Ready
	case control.DrainQuery:
		a.remainingQueries--
	}
	if a.remainingQueries <= 0 {
		status.Flows = 0
	}
	a.actions = append(a.actions, m.DrainRequest.Action)
	return control.Message{DrainStatus: status}
}

const testTimeout = 5 * time.Second
