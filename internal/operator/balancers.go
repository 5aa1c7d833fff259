package operator

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/control"
	"gentianswitch/internal/revision"
)

// maxConnections bounds the control connections that are open to balancers at the same time.
const maxConnections = 32

// call opens a control connection to a process, sends one message and returns the reply.
func (o *Operator) call(ctx context.Context, address netip.AddrPort, m control.Message) (control.Message, error) {
	conn, err := control.Dial(ctx, address.String(), o.credentials)
	if err != nil {
		return control.Message{}, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	return conn.Call(m)
}

// forEachBalancer calls run for each balancer, up to maxConnections calls at a time, and returns when all have returned.
func forEachBalancer(balancers []netip.AddrPort, run func(i int, address netip.AddrPort)) {
	semaphore := make(chan struct{}, maxConnections)
	var calls sync.WaitGroup
	for i, address := range balancers {
		semaphore <- struct{}{}
		calls.Go(func() {
			run(i, address)
			<-semaphore
		})
	}
	calls.Wait()
}

// statusReply is the status that one balancer sent, or the error of the request.
type statusReply struct {
	address netip.AddrPort
	status  *control.Status
	err     error
}

// requestStatuses requests the status of each balancer. The replies have the order of the balancers.
func (o *Operator) requestStatuses(ctx context.Context, balancers []netip.AddrPort) []statusReply {
	replies := make([]statusReply, len(balancers))
	forEachBalancer(balancers, func(i int, address netip.AddrPort) {
		reply, err := o.call(ctx, address, control.Message{StatusRequest: &control.StatusRequest{}})
		if err == nil && reply.Status == nil {
			err = eris.Errorf("status of %s: another message came", address)
		}
		replies[i] = statusReply{address: address, status: reply.Status, err: err}
	})
	return replies
}

// knownBalancers returns the balancers of the settings and those that they report as live, sorted and without duplicates.
func (o *Operator) knownBalancers(ctx context.Context) []netip.AddrPort {
	list := slices.Clone(o.balancers)
	for _, reply := range o.requestStatuses(ctx, o.balancers) {
		if reply.err != nil {
			continue
		}
		for _, b := range reply.status.Balancers {
			list = append(list, b.Control)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

// newestRevision returns the newest applied revision among the replies and a balancer that has it. It reports false when no
// balancer has replied.
func newestRevision(replies []statusReply) (revision.ID, netip.AddrPort, bool) {
	var id revision.ID
	var from netip.AddrPort
	hasReply := false
	for _, reply := range replies {
		if reply.err != nil {
			continue
		}
		hasReply = true
		if reply.status.Revision > id.Number {
			id, from = reply.status.InForce(), reply.address
		}
	}
	return id, from, hasReply
}

// fetchRevision returns the revision that a balancer has applied, with its whole tables.
func (o *Operator) fetchRevision(ctx context.Context, from netip.AddrPort) (revision.Revision, error) {
	reply, err := o.call(ctx, from, control.Message{RevisionRequest: &control.RevisionRequest{}})
	if err != nil {
		return revision.Revision{}, err
	}
	if reply.RevisionReply == nil {
		return revision.Revision{}, eris.Errorf("revision of %s: another message came", from)
	}
	return reply.RevisionReply.Revision, nil
}

// offerRevision sends an accepted revision to one balancer, as a delta and then, if the balancer lacks the base of the delta,
// as whole tables. It reports whether the balancer has now applied this revision or a newer one.
func (o *Operator) offerRevision(ctx context.Context, to netip.AddrPort, result revision.Result) bool {
	for _, r := range []revision.Revision{result.Delta, result.Full} {
		reply, err := o.call(ctx, to, control.Message{RevisionOffer: &control.RevisionOffer{Revision: r}})
		if err != nil || reply.RevisionAck == nil {
			return false
		}
		ack := reply.RevisionAck
		if ack.Outcome != revision.Gap {
			return isAtLeast(ack.InForce, result.ID)
		}
	}
	return false
}

// isAtLeast reports whether the applied revision is the wanted one or a newer one.
func isAtLeast(applied, wanted revision.ID) bool {
	return applied == wanted || applied.Number > wanted.Number
}

// offerRevisionToAll sends an accepted revision to the balancers and returns those that have not confirmed it.
func (o *Operator) offerRevisionToAll(
	ctx context.Context, balancers []netip.AddrPort, result revision.Result,
) []netip.AddrPort {
	isConfirmed := make([]bool, len(balancers))
	forEachBalancer(balancers, func(i int, address netip.AddrPort) { isConfirmed[i] = o.offerRevision(ctx, address, result) })
	var unconfirmed []netip.AddrPort
	for i, address := range balancers {
		if !isConfirmed[i] {
			unconfirmed = append(unconfirmed, address)
		}
	}
	return unconfirmed
}
