package emulator

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/control"
	"gentianswitch/internal/member"
	"gentianswitch/internal/standin/certificates"
)

const statusTimeout = 2 * time.Second

// Credentials returns the certificates with which every process of the deployment identifies itself.
func (e *Emulator) Credentials() (*control.Credentials, error) {
	return control.LoadCredentials(control.Files{
		Certificate: e.File(certificates.CertificateFile),
		Key:         e.File(certificates.KeyFile),
		Authority:   e.File(certificates.AuthorityFile),
	})
}

// Status requests from a balancer its view of the deployment.
func (e *Emulator) Status(balancer *Process) (*control.Status, error) {
	credentials, err := e.Credentials()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	conn, err := control.Dial(ctx, fmt.Sprintf("%s:%d", balancer.IP, portControl), credentials)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	answer, err := conn.Call(control.Message{StatusRequest: &control.StatusRequest{}})
	if err != nil {
		return nil, err
	}
	if answer.Status == nil {
		return nil, eris.Errorf("status of %s: the reply holds no status", balancer.Name)
	}
	return answer.Status, nil
}

// AwaitBalancers waits until AwaitBalancer succeeds for every running balancer.
func (e *Emulator) AwaitBalancers() error {
	for _, b := range e.Balancers {
		if !b.IsRunning() {
			continue
		}
		if err := e.AwaitBalancer(b); err != nil {
			return err
		}
	}
	return nil
}

// AwaitBalancer waits until a balancer has tables in force and reports as ready every running agent that does not drain.
func (e *Emulator) AwaitBalancer(b *Process) error {
	return await(b.Name, func() bool {
		status, err := e.Status(b)
		return err == nil && status.Revision > 0 && e.areTargetsCurrent(status.Targets)
	})
}

// areTargetsCurrent reports whether every running agent that does not drain is among the ready targets.
func (e *Emulator) areTargetsCurrent(targets []member.Target) bool {
	ready := make(map[string]bool, len(targets))
	for _, t := range targets {
		if t.State == member.Ready {
			ready[t.Agent.Addr().String()] = true
		}
	}
	for _, a := range e.Agents {
		if a.IsRunning() && !a.isDraining && !ready[a.IP] {
			return false
		}
	}
	return true
}

// AwaitRevision waits until a balancer has the given revision or a later one in force.
func (e *Emulator) AwaitRevision(b *Process, revision uint64) error {
	return await(b.Name, func() bool {
		status, err := e.Status(b)
		return err == nil && status.Revision >= revision
	})
}

func isListening(address string) bool {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// await polls a condition until it holds, for at most readyTimeout.
func await(what string, isReady func() bool) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		if isReady() {
			return nil
		}
	}
	return eris.Errorf("%s is not ready after %s", what, readyTimeout)
}
