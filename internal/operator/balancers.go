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

// maxDials bounds the connections that are open at once.
const maxDials = 32

// call sends one message to a process and returns its answer.
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

// forEach runs the function for each balancer, several at once.
func forEach(balancers []netip.AddrPort, run func(i int, address netip.AddrPort)) {
	slots := make(chan struct{}, maxDials)
	var calls sync.WaitGroup
	for i, address := range balancers {
		slots <- struct{}{}
		calls.Go(func() {
			run(i, address)
			<-slots
		})
	}
	calls.Wait()
}

// answer is the status of one balancer, or why there is none.
type answer struct {
	address netip.AddrPort
	status  *control.Status
	err     error
}

func (o *Operator) statuses(ctx context.Context, balancers []netip.AddrPort) []answer {
	answers := make([]answer, len(balancers))
	forEach(balancers, func(i int, address netip.AddrPort) {
		reply, err := o.call(ctx, address, control.Message{StatusRequest: &control.StatusRequest{}})
		if err == nil && reply.Status == nil {
			err = eris.Errorf("status of %s: another message came", address)
		}
		answers[i] = answer{address: address, status: reply.Status, err: err}
	})
	return answers
}

// known returns the balancers of the settings and those that they hold to be live, sorted.
func (o *Operator) known(ctx context.Context) []netip.AddrPort {
	list := slices.Clone(o.balancers)
	for _, a := range o.statuses(ctx, o.balancers) {
		if a.err != nil {
			continue
		}
		for _, b := range a.status.Balancers {
			list = append(list, b.Control)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

// newest returns the newest revision among the answers and a balancer that has it in force. It reports false when no
// balancer has answered.
func newest(answers []answer) (revision.ID, netip.AddrPort, bool) {
	var id revision.ID
	var from netip.AddrPort
	isAnswered := false
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		isAnswered = true
		if a.status.Revision > id.Number {
			id, from = a.status.InForce(), a.address
		}
	}
	return id, from, isAnswered
}

// fetch returns the whole tables that a balancer has in force.
func (o *Operator) fetch(ctx context.Context, from netip.AddrPort) (revision.Revision, error) {
	reply, err := o.call(ctx, from, control.Message{RevisionRequest: &control.RevisionRequest{}})
	if err != nil {
		return revision.Revision{}, err
	}
	if reply.RevisionReply == nil {
		return revision.Revision{}, eris.Errorf("revision of %s: another message came", from)
	}
	return reply.RevisionReply.Revision, nil
}

// offer hands an accepted revision to one balancer and reports whether that revision or a newer one is in force there.
func (o *Operator) offer(ctx context.Context, to netip.AddrPort, result revision.Result) bool {
	for _, r := range []revision.Revision{result.Delta, result.Full} {
		reply, err := o.call(ctx, to, control.Message{RevisionOffer: &control.RevisionOffer{Revision: r}})
		if err != nil || reply.RevisionAck == nil {
			return false
		}
		ack := reply.RevisionAck
		if ack.Outcome != revision.Gap {
			return isInForce(ack.InForce, result.ID)
		}
	}
	return false
}

// isInForce reports whether a balancer with the revision have has taken the wanted one.
func isInForce(have, wanted revision.ID) bool {
	return have == wanted || have.Number > wanted.Number
}

// offerAll hands an accepted revision to the balancers and returns those that do not have it in force.
func (o *Operator) offerAll(ctx context.Context, balancers []netip.AddrPort, result revision.Result) []netip.AddrPort {
	isTaken := make([]bool, len(balancers))
	forEach(balancers, func(i int, address netip.AddrPort) { isTaken[i] = o.offer(ctx, address, result) })
	var behind []netip.AddrPort
	for i, address := range balancers {
		if !isTaken[i] {
			behind = append(behind, address)
		}
	}
	return behind
}
