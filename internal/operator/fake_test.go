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
	return load(t, dir)
}

func load(t *testing.T, dir string) *control.Credentials {
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

// serve answers control messages until the test ends and returns the address.
func serve(t *testing.T, credentials *control.Credentials, answer func(control.Message) control.Message) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = control.Serve(ctx, listener, credentials, func(_ context.Context, conn *control.Conn) {
			for {
				m, err := conn.Receive()
				if err != nil || conn.Send(answer(m)) != nil {
					return
				}
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// fakeBalancer takes revisions as a balancer does. A deaf one answers offers with what it had before.
type fakeBalancer struct {
	mu     sync.Mutex
	state  *revision.State
	isDeaf bool
}

func (b *fakeBalancer) answer(m control.Message) control.Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case m.StatusRequest != nil:
		return control.Message{Status: &control.Status{Revision: b.state.ID().Number, Change: b.state.ID().ChangeID}}
	case m.RevisionRequest != nil:
		return control.Message{RevisionReply: &control.RevisionReply{Revision: b.state.UpdateSince(m.RevisionRequest.InForce)}}
	default:
		outcome := revision.Older
		if !b.isDeaf {
			outcome = b.state.Apply(m.RevisionOffer.Revision)
		}
		return control.Message{RevisionAck: &control.RevisionAck{InForce: b.state.ID(), Outcome: outcome}}
	}
}

// fakeAgent has one flow that ends after the given number of queries.
type fakeAgent struct {
	mu      sync.Mutex
	state   member.State
	queries int
	actions []control.DrainAction
}

func (a *fakeAgent) answer(m control.Message) control.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := &control.DrainStatus{State: a.state, Flows: 1}
	switch m.DrainRequest.Action {
	case control.DrainStart:
		a.state, status.State = member.Draining, member.Draining
	case control.DrainUndo:
		a.state, status.State = member.Ready, member.Ready
	case control.DrainQuery:
		a.queries--
	}
	if a.queries <= 0 {
		status.Flows = 0
	}
	a.actions = append(a.actions, m.DrainRequest.Action)
	return control.Message{DrainStatus: status}
}

const testTimeout = 5 * time.Second
